// Package slopes measures how the state, messages and processor time of one entry VM
// grow with the size of its deployment. Peers, backend servers and callers are simulated
// by the messages that they send, in virtual time. It takes a minute and is left out of
// go test ./...; run it with:
//
//	go test -tags wholerun -count 1 -timeout 10m ./internal/oper/slopes -args -record ../../../docs/measurements
package slopes
