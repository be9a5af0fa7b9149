// Package soak runs dispatchers and replicas as real processes over loopback and injects faults
// that overlap in time. From what clients and replicas observed it judges whether the rules on
// requests, prefill state, retries, drains and process exits were kept.
package soak
