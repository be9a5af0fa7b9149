package program

import (
	"runtime"
	"runtime/debug"

	"standpulley/internal/config"
	"standpulley/internal/dispatch"
)

// This file derives every bound of the process from the limits of its configuration: sockets, memory
// and cores.

const (
	clientShare  = 0.45 // share of the sockets for clients of all fronts together
	replicaShare = 0.4  // share of the sockets for replicas
	// Least number of sockets for all else: discovery, the admin endpoint and its callers, the
	// runtime, connections that are being refused.
	reservedSockets = 40

	// imageBytes is what pages of the executable take of the memory limit.
	imageBytes = 15 << 20
	// runtimeBytes is what the runtime, the lists and the program at rest take besides.
	runtimeBytes = 3 << 20
	// leastShare is the share of a memory limit that is divided if what the program takes at rest
	// leaves less.
	leastShare = 0.25
	// gcShare is the share of the memory limit, and gcReserve what is left of it, at which Go
	// collects garbage more aggressively.
	gcShare   = 0.7
	gcReserve = 1 << 20

	// leastBodies is the least memory for bodies: two of the largest.
	leastBodies = 512 << 10

	// Memory of a client's connection whose request is still arriving, or that is idle after an
	// answer, and of an open request without its payload: its goroutines, attempts and stream.
	connBytes    = 16 << 10
	requestBytes = 40 << 10

	// Shares of the memory that the program leaves at rest. What they leave is for garbage.
	connMemory     = 0.22 // connections of clients
	requestMemory  = 0.33 // open requests
	payloadMemory  = 0.12 // payloads of open requests
	bodyReadMemory = 0.06 // request bodies that the core does not have yet; half as much again for what is read ahead
	decodeMemory   = 0.07 // bodies of the chat API that are being decoded
	// Instructions of the chat API that are remembered. They are few and small in ordinary service.
	instructionMemory = 0.02
)

// processLimits are the bounds of one process.
type processLimits struct {
	clientConns      int
	replicaConns     int
	openRequests     int
	payloadBytes     int
	bodyReadBytes    int
	decodeBytes      int
	instructionBytes int
	gcLimit          int64 // bytes
}

// newProcessLimits divides the limits of a configuration.
func newProcessLimits(l config.Limits) processLimits {
	total := float64(l.MemoryMB) * (1 << 20)
	free := max(total-imageBytes-runtimeBytes, leastShare*total)
	clients, replicas := share(l.Sockets)
	return processLimits{
		clientConns:      min(clients, int(connMemory*free/connBytes)),
		replicaConns:     replicas,
		openRequests:     min(l.Sockets/2, int(requestMemory*free/requestBytes)),
		payloadBytes:     max(int(payloadMemory*free), leastBodies),
		bodyReadBytes:    max(int(bodyReadMemory*free), leastBodies),
		decodeBytes:      int(decodeMemory * free),
		instructionBytes: int(instructionMemory * free),
		gcLimit:          int64(min(gcShare*total, max(total-imageBytes-gcReserve, leastShare*total))),
	}
}

// share divides the sockets that the process may hold between clients and replicas. The rest is for
// discovery, the admin endpoint, files and the console.
func share(sockets int) (clients, replicas int) {
	free := float64(sockets - reservedSockets)
	part := func(of float64) int { return int(min(of*float64(sockets), of/(clientShare+replicaShare)*free)) }
	return part(clientShare), part(replicaShare)
}

// bounds returns the limits of the table of open requests.
func bounds(l config.Limits) dispatch.Bounds {
	limits := newProcessLimits(l)
	return dispatch.Bounds{Requests: limits.openRequests, Bytes: limits.payloadBytes}
}

// limit applies the limits of a configuration to the process.
func (p *program) limit(cfg config.Config) {
	limits := newProcessLimits(cfg.Limits)
	p.limiter.SetLimits(limits.clientConns, limits.bodyReadBytes)
	p.decoding.SetLimit(limits.decodeBytes)
	p.instructions.SetLimit(limits.instructionBytes)
	p.pool.SetLimits(limits.replicaConns, cfg.Settings.ConnIdle, cfg.Settings.ConnectTimeout)
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	debug.SetMemoryLimit(limits.gcLimit)
}
