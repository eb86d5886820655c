package call

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// closedAddress is an address without a listener. Its port is never assigned to a
// listener dynamically.
const closedAddress = "127.0.0.1:1"

func TestNotSent(t *testing.T) {
	client := NewClient(1)
	_, _, refused := client.Get(nil, "http://"+closedAddress)
	must.Error(t, refused)
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"refused connection", refused, true},
		{"wrapped", errors.Wrap(refused, "order"), true},
		{"no free connection", fasthttp.ErrNoFreeConns, true},
		{"closed by the other side", fasthttp.ErrConnectionClosed, false},
		{"timeout", fasthttp.ErrTimeout, false},
		{"none", nil, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, NotSent(tc.err)) })
	}
}
