package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/event"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// panickingSystem panics wherever it is given something to read.
type panickingSystem struct{ System }

// DecodeUpdate implements Store.
func (panickingSystem) DecodeUpdate(Feed, []peer.FeedRecord) *FeedUpdate { panic("malformed record") }

// ReadFull implements Store.
func (panickingSystem) ReadFull(context.Context, Feed) (*FeedUpdate, error) {
	panic("malformed answer")
}

// Order implements Engines.
func (panickingSystem) Order(context.Context, homes.Order, Holder) (homes.Result, error) {
	panic("malformed answer")
}

// Report implements Engines.
func (panickingSystem) Report(context.Context, homes.ReportRequest) (*topo.Report, error) {
	panic("malformed answer")
}

// AppendLease implements Store.
func (panickingSystem) AppendLease(context.Context, string, claim.Append) (claim.Result, error) {
	panic("malformed answer")
}

// ReadLease implements Store.
func (panickingSystem) ReadLease(context.Context, string, units.Offset) (*LeaseRecords, error) {
	panic("malformed answer")
}

// ReadRequest implements Headers.
func (panickingSystem) ReadRequest(http.Header) (RequestHead, error) { panic("malformed header") }

func newPanickingNode() *Node {
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: panickingSystem{}})
	n.ready.Store(true)
	n.config.Store(&topo.Config{Version: 1, Routes: []topo.Route{{Name: "r", Host: "h.example", PathPrefix: "/"}}})
	return n
}

// TestPanicInARequestEndsOnlyIt has the handling of a request panic. The caller's connection is
// closed, the process goes on, and no lock stays held.
func TestPanicInARequestEndsOnlyIt(t *testing.T) {
	n := newPanickingNode()
	server := httptest.NewServer(http.HandlerFunc(n.handle))
	defer server.Close()
	for range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/x", nil)
		must.NoError(t, err)
		req.Host = "h.example"
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		must.Error(t, err)
	}
	must.Zero(t, n.inFlight.Load())
}

// TestPanicInTheCoreLeavesItsLockFree guards against an entry VM that hangs since one request
// made the core panic.
func TestPanicInTheCoreLeavesItsLockFree(t *testing.T) {
	n := newPanickingNode()
	must.False(t, n.guard("test", func() { n.withCore(func(*choose.Core) { panic("unexpected") }) }))
	called := false
	n.withCore(func(*choose.Core) { called = true })
	must.True(t, called)
}

// TestPanicInAMessageEndsOnlyIt has the handling of a message of another entry VM panic.
func TestPanicInAMessageEndsOnlyIt(t *testing.T) {
	n := newPanickingNode()
	n.serversFeed.synced = true
	update := &peer.FeedUpdate{Feed: string(FeedServers), Next: 1, Records: []peer.FeedRecord{{Key: "s1", Value: []byte("x")}}}
	must.False(t, n.received(event.PeerReceived{From: "vm1", Message: update}))
	must.True(t, n.received(event.PeerReceived{From: "vm1", Message: &peer.PlacementUpdate{Shard: "r", Fence: 1}}))
}

// TestPanicInACallIsAFailedCall has every call to the store and to backend servers panic. The
// goroutines that make them go on, and each call counts as one without a known result.
func TestPanicInACallIsAFailedCall(t *testing.T) {
	n := newPanickingNode()
	p := n.ownPlacer()
	ctx, cancel := context.WithCancel(t.Context())
	p.execute(ctx, homes.Plan{Orders: []homes.Order{{Server: "s1"}}, ReportRequests: []homes.ReportRequest{{Server: "s1"}}})
	p.append(ctx, claim.Append{})
	p.readRequests <- 0
	var done sync.WaitGroup
	done.Go(func() { _ = p.followLease(ctx) })
	done.Go(func() { _ = n.follow(ctx, &n.serversFeed, 0, 0, n.applyServers) })
	for range 4 {
		in, ok := p.inputs.Pop(t.Context())
		must.True(t, ok)
		switch in := in.(type) {
		case orderInput:
			must.Eq(t, homes.Lost, in.result)
		case reportInput:
			must.Nil(t, in.report)
		case appendInput:
			must.Eq(t, claim.Unknown, in.result)
		case leaseInput:
			must.Error(t, in.err)
		default:
			t.Fatalf("unexpected input %T", in)
		}
	}
	for n.serversFeed.failures.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	done.Wait()
}
