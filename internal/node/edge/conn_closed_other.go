//go:build !linux

package edge

import "net"

// connClosed reports false: on this system a closed connection shows only when
// it is written to.
func connClosed(net.Conn) bool { return false }
