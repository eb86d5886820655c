// Package soak runs entry VMs as processes of their own on loopback, before a
// stand-in of the users' platform, under faults drawn from a seed, and checks what
// callers and backend servers see.
//
// Faults come from outside the processes: signals, relays that delay, reset, refuse
// or hold the bytes of one or both ways, a store that is down, slow or loses
// answers, and backend servers that crash, stay mute, fail, crawl, leave, or carry
// orders out late. They overlap. Connections between entry VMs pass no relay; a
// paused process stands for a peer that has gone silent.
//
// go test runs a few fixed seeds and those that once failed. More:
//
//	go test ./internal/oper/soak -run TestSeeds -count 1 -timeout 30m -args -seeds 50 -first 1 -at_once 4 -logs DIR
//
// A seed gives the deployment and the faults; what the machine does meanwhile
// differs, so a run repeats a seed's faults and not each outcome.
package soak
