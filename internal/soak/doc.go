// Package soak runs dispatchers and replicas as real processes over loopback, injects faults that overlap in time, and judges from
// outside whether the rules on requests, held state, repeats and drains were kept.
package soak
