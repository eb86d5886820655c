// Package slopes measures how state, messages and processor time of one entry VM
// grow with the size of what is around it. What stands around is made up of
// messages as peers and backend servers send them; time is virtual and goes fast.
// It takes a minute and is left out of go test ./...; run it with:
//
//	go test -tags wholerun -count 1 -timeout 10m ./internal/oper/slopes -args -record ../../../docs/measurements
package slopes
