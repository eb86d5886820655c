// Package whole tests whole deployments: entry VMs and stand-ins run as separate
// processes on loopback, under load and with failures. The tests take minutes and are
// excluded from go test ./...; run them with:
//
//	go test -tags wholerun -count 1 -timeout 30m ./internal/oper/whole -args -record ../../../docs/measurements
package whole
