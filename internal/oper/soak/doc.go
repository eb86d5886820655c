// Package soak runs entry VMs as separate processes on loopback against a stand-in of
// the users' platform, injects faults drawn from a seed, and checks what callers and
// backend servers see.
//
// Faults are injected from outside the processes: signals; relays that delay, reset,
// refuse or hold back traffic in one or both directions; a store that is down or
// slow, loses answers, forgets its history or contains garbage; and backend servers that
// crash, do not answer, fail, slow down, leave, break streams, or execute orders late.
// Faults overlap. Connections between entry VMs do not pass a relay; a paused process
// represents an unresponsive peer.
//
// go test runs a few fixed seeds and those that failed in the past. To run more:
//
//	go test ./internal/oper/soak -run TestSeeds -count 1 -timeout 30m -args -seeds 50 -first 1 -at_once 4 -logs DIR
//
// A seed determines the deployment and the faults. Timing differs between runs, so a
// run reproduces the faults of a seed but not every outcome.
package soak
