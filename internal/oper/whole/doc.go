// Package whole holds whole runs: entry VMs and stand-ins as processes of their
// own on loopback, under load and with failures. They take minutes and are left
// out of go test ./...; run them with:
//
//	go test -tags wholerun -count 1 -timeout 30m ./internal/oper/whole -args -record ../../../docs/measurements
package whole
