package fleet

import (
	"context"
	"net"

	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
)

// Listeners are the open listeners of one entry VM.
type Listeners struct {
	Front net.Listener
	Ready net.Listener
	Peers net.Listener
	// Metrics is nil if no metrics are served.
	Metrics net.Listener
}

// Listen opens the listeners of an entry VM. They close connections whose peer no
// longer responds.
func Listen(ctx context.Context, s *Settings) (*Listeners, error) {
	var opened Listeners
	for _, item := range []struct {
		what     string
		address  string
		listener *net.Listener
	}{
		{"callers", s.FrontAddress, &opened.Front},
		{"the balancer", s.ReadyAddress, &opened.Ready},
		{"other entry VMs", s.PeerAddress, &opened.Peers},
		{"metrics", s.MetricsAddress, &opened.Metrics},
	} {
		if item.address == "" {
			continue
		}
		listenConfig := call.ListenConfig()
		listener, err := listenConfig.Listen(ctx, "tcp4", item.address)
		if err != nil {
			opened.close()
			return nil, errors.Wrapf(err, "listen for %s: choose a free address", item.what)
		}
		*item.listener = listener
	}
	return &opened, nil
}

func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.Front, l.Ready, l.Peers, l.Metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
