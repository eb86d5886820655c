// Package vmlist is a stand-in for the platform's lagging list of VMs.
package vmlist

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"mangostile/internal/node/render"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/reply"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Options configure a VMList.
type Options struct {
	// Lag is the delay until a change becomes visible, in ms.
	Lag clock.Millis
}

// VMList is a versioned list of VMs. The zero value is empty and does not lag.
type VMList struct {
	Options

	mu sync.Mutex
	// versions holds the list after each change, oldest first. Visible drops those that are
	// older than the visible one.
	versions []version
	down     bool
}

type version struct {
	at  time.Time
	vms []event.VM
}

// Set replaces the list.
func (l *VMList) Set(vms []event.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at: time.Now(), vms: vms})
}

// Update replaces the newest list by the result of change, which may modify its argument.
func (l *VMList) Update(change func(vms []event.VM) []event.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest []event.VM
	if n := len(l.versions); n > 0 {
		newest = append(newest, l.versions[n-1].vms...)
	}
	l.versions = append(l.versions, version{at: time.Now(), vms: change(newest)})
}

// SetDown makes the list refuse requests, or answer them again.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Visible returns the list as callers see it now, Lag behind the newest.
func (l *VMList) Visible() []event.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleUntil := time.Now().Add(-l.Lag.Duration())
	for len(l.versions) > 1 && !l.versions[1].at.After(visibleUntil) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[0].vms
}

// entityTag returns an entity tag, which is the same for equal lists.
func entityTag(vms []event.VM) string {
	digest := xxhash.New()
	if err := json.NewEncoder(digest).Encode(vms); err != nil {
		return ""
	}
	return fmt.Sprintf("\"%016x\"", digest.Sum64())
}

// Handle serves GET /v1/vms. It answers 304 if the caller's entity tag is current.
func (l *VMList) Handle(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		reply.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the list is down")
		return
	}
	visible := l.Visible()
	tag := entityTag(visible)
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	render.JSON(ctx, fasthttp.StatusOK, struct {
		VMs []event.VM `json:"vms"`
	}{visible})
}
