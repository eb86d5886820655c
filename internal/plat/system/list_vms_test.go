package system_test

import (
	"testing"

	"mangostile/internal/core/event"
	"mangostile/internal/fake/reply"
	"mangostile/internal/fake/vmlist"
	"mangostile/internal/plat/system"

	"github.com/shoenig/test/must"
)

// TestListVMsHandsOutEachListOnce checks that an unchanged list is returned only once and
// that each changed list is returned.
func TestListVMsHandsOutEachListOnce(t *testing.T) {
	var list vmlist.VMList
	server, err := reply.Listen("127.0.0.1:0", list.Handle)
	must.NoError(t, err)
	defer server.Close()
	s := system.NewRealSystem("", server.Address())
	next := func() []event.VM {
		vms, err := s.ListVMs(t.Context())
		must.NoError(t, err)
		return vms
	}
	first := []event.VM{{ID: "engine-1", State: event.VMLive}}
	list.Set(first)
	must.Eq(t, first, next())
	must.SliceEmpty(t, next())
	second := []event.VM{{ID: "engine-1", State: event.VMLeaving}}
	list.Set(second)
	must.Eq(t, second, next())
	must.SliceEmpty(t, next())
	list.SetDown(true)
	_, err = s.ListVMs(t.Context())
	must.Error(t, err)
	list.SetDown(false)
	list.Set(first)
	must.Eq(t, first, next())
}
