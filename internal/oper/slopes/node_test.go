//go:build wholerun

package slopes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// deployment holds the size and load of the simulated deployment around one entry VM.
type deployment struct {
	// members and servers count the entry VMs, itself included, and the backend servers
	// of its failure domain; domains counts failure domains of the same size.
	members, servers, domains int
	// rows is the number of adapters in the table, residents the number on each engine.
	rows, residents int
	// rate is the number of requests per second that callers send to the entry VM,
	// executionTime how long one runs.
	rate          float64
	executionTime clock.Millis
}

// traffic counts messages and bytes by kind, which is the name of a message's type in peer,
// or "report" for a backend server's report.
type traffic map[string]*count

type count struct{ messages, bytes int }

func (t traffic) add(kind string, bytes int) {
	if t[kind] == nil {
		t[kind] = &count{}
	}
	t[kind].messages++
	t[kind].bytes += bytes
}

func (t traffic) bytes() (sum int) {
	for _, c := range t {
		sum += c.bytes
	}
	return sum
}

func (t traffic) messages() (sum int) {
	for _, c := range t {
		sum += c.messages
	}
	return sum
}

// pendingEvent is an event that is due at a time.
type pendingEvent struct {
	at clock.Millis
	ev event.Event
}

// fakeServer is the state that a backend server reports.
type fakeServer struct {
	vm       event.VM
	fence    units.Fence
	resident []event.ResidentAdapter
}

// heldGrant is a grant that a peer holds, with the time of its last renewal.
type heldGrant struct {
	peer.HeldGrant
	renewedAt clock.Millis
}

// heartbeatState is the state of a peer's stream of heartbeats.
type heartbeatState struct {
	sequence uint32
	sentFull bool
	// servers are the servers that the peer owns, sorted by id.
	servers []*fakeServer
}

// renewPeriod is the time between two renewals of a grant.
const renewPeriod = 4 * clock.Second

// node is one entry VM's core in a simulated deployment.
type node struct {
	t          *testing.T
	deployment deployment
	core       *entry.Core
	now        clock.Millis
	vms        []event.VM
	// servers are the backend servers of the node's failure domain, owned those of them
	// that the node owns.
	servers map[units.BackendServerID]*fakeServer
	owned   []units.BackendServerID
	// peers are the other entry VMs of the node's failure domain.
	peers    []units.EntryVMID
	pending  []pendingEvent
	out      event.Effects
	sent     traffic
	received traffic
	backend  traffic
	// coreTime is the real time spent in the core and in coding its messages and reports.
	coreTime time.Duration
	// granted holds the grants that the core gave to peers, by peer.
	granted    map[units.EntryVMID]map[units.GrantNumber]*heldGrant
	heartbeats map[units.EntryVMID]*heartbeatState
	// grantRequests holds the grant requests of peers that the core hasn't answered.
	grantRequests map[units.RequestID]*peer.GrantRequest
	// requests numbers requests and grants.
	requests int
	appends  int
	// started reports that the table is applied. Requests arrive only from then on.
	started bool
}

func (n *node) adapter(i int) units.AdapterVersion {
	return units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprintf("galle-braid-%05d", i%n.deployment.rows)), Version: "v1"}
}

func newNode(t *testing.T, dep deployment) *node {
	n := &node{
		t: t, deployment: dep, now: 10 * clock.Second, servers: map[units.BackendServerID]*fakeServer{}, sent: traffic{}, received: traffic{}, backend: traffic{},
		granted: map[units.EntryVMID]map[units.GrantNumber]*heldGrant{}, heartbeats: map[units.EntryVMID]*heartbeatState{},
		grantRequests: map[units.RequestID]*peer.GrantRequest{},
	}
	for d := range dep.domains {
		domain := units.FailureDomain(fmt.Sprintf("domain-%02d", d))
		region := units.Region(fmt.Sprintf("region-%d", d%4))
		for m := range dep.members {
			id := fmt.Sprintf("entry-%02d-%03d", d, m)
			n.vms = append(n.vms, event.VM{
				ID: id, Address: fmt.Sprintf("10.%d.0.%d:7000", d, m), ServeAddress: fmt.Sprintf("10.%d.0.%d:8000", d, m),
				FailureDomain: domain, Region: region, State: event.VMLive, Entry: true,
			})
			if d == 0 && m > 0 {
				n.peers = append(n.peers, units.EntryVMID(id))
			}
		}
		for s := range dep.servers {
			vm := event.VM{
				ID: fmt.Sprintf("engine-%02d-%03d", d, s), Address: fmt.Sprintf("10.%d.1.%d:9000", d, s), FailureDomain: domain, Region: region,
				State: event.VMLive, Kind: event.KindEngine, Base: "straw-7b", ChecksFence: true, Slots: int32(dep.residents), BatchMax: 64,
			}
			n.vms = append(n.vms, vm)
			if d == 0 {
				n.addServer(vm, s)
			}
		}
	}
	n.core = entry.New(entry.Config{Self: n.vms[0], Incarnation: 1_790_000_000_000, VMs: n.vms})
	n.start()
	return n
}

func (n *node) addServer(vm event.VM, s int) {
	server := &fakeServer{vm: vm}
	for i := range n.deployment.residents {
		server.resident = append(server.resident, event.ResidentAdapter{AdapterVersion: n.adapter(s*n.deployment.residents + i)})
	}
	n.servers[units.BackendServerID(vm.ID)] = server
}

// start applies the table and runs the node until it has claimed its servers.
func (n *node) start() {
	n.step(event.Tick{})
	var records []peer.Record
	for first := 0; first < n.deployment.rows; first += 500 {
		var cells []event.Cell
		for i := first; i < min(first+500, n.deployment.rows); i++ {
			name := n.adapter(i).Adapter
			cells = append(cells, event.Cell{Adapter: name, Column: "base", Value: "straw-7b"},
				event.Cell{Adapter: name, Column: "versions", Value: "v1:1"}, event.Cell{Adapter: name, Column: "callers", Value: "village-app"})
		}
		records = append(records, n.record(event.Edit{ID: units.RecordID(fmt.Sprintf("import-%d", first)), Author: "operator", Cells: cells}, len(records)))
	}
	n.step(event.RecordsRead{Stream: event.ConfigStream, Records: records, Next: units.Offset(len(records)), End: units.Offset(len(records))})
	must.True(n.t, n.core.Ready())
	n.started = true
	n.run(8 * clock.Second)
	for id := range n.servers {
		if n.core.Members.OwnerOf(id) == n.core.Members.SelfID() {
			n.owned = append(n.owned, id)
		}
	}
	must.Len(n.t, n.deployment.members, n.core.Members.Members())
}

func (n *node) record(edit event.Edit, offset int) peer.Record {
	body, err := msgpack.Marshal(edit)
	must.NoError(n.t, err)
	return peer.Record{Offset: units.Offset(offset), ID: edit.ID, At: 1_790_000_000_000, Body: body}
}

// step passes one event to the core, measures the time and executes its effects.
func (n *node) step(ev event.Event) {
	n.out.Reset()
	start := time.Now()
	n.core.Step(n.now, ev, &n.out)
	n.coreTime += time.Since(start)
	effects := append([]event.Effect(nil), n.out.List...)
	for _, effect := range effects {
		n.execute(effect)
	}
}

func (n *node) execute(effect event.Effect) {
	switch effect := effect.(type) {
	case event.SendPeer:
		n.send(effect)
	case event.OrderServer:
		server := n.servers[effect.Server]
		server.fence = max(server.fence, effect.Order.Fence)
		n.schedule(1, event.OrderDone{Server: effect.Server, Order: effect.Order, Result: event.OrderResult{Kind: event.OrderAccepted}, SentAt: n.now})
	case event.PollServer:
		n.poll(effect)
	case event.Dispatch:
		n.schedule(n.deployment.executionTime, event.DispatchDone{Request: effect.Request, Attempt: effect.Attempt, Result: event.DispatchResult{
			Kind: event.ResultServed, CallerGotBytes: true,
		}})
	case event.AppendRecord:
		n.appends++
		n.schedule(5, event.AppendDone{Stream: effect.Stream, ID: effect.ID, Result: event.AppendRefused})
	}
}

func (n *node) schedule(delay clock.Millis, ev event.Event) {
	n.pending = append(n.pending, pendingEvent{n.now + delay, ev})
}

// send encodes a message as the links do and schedules its receiver's response.
func (n *node) send(effect event.SendPeer) {
	start := time.Now()
	buf, err := frame.Append(nil, 1, effect.Message)
	n.coreTime += time.Since(start)
	must.NoError(n.t, err)
	n.sent.add(fmt.Sprintf("%T", effect.Message)[len("*peer."):], len(buf))
	switch m := effect.Message.(type) {
	case *peer.Heartbeat:
		if m.NeedsFull && n.heartbeats[effect.To] != nil {
			n.heartbeats[effect.To].sentFull = false
		}
	case *peer.GrantRequest:
		n.requests++
		n.schedule(2, event.PeerReceived{From: effect.To, Message: &peer.GrantReply{
			Request: m.Request, Attempt: m.Attempt, Server: m.Server, Grant: units.GrantNumber(1_790_000_000_000)<<20 + units.GrantNumber(n.requests), Term: 10 * clock.Second,
		}})
	case *peer.GrantReply:
		n.startGranted(effect.To, m)
	}
}

// startGranted simulates a peer that runs the request that it got a grant for.
func (n *node) startGranted(to units.EntryVMID, m *peer.GrantReply) {
	request := n.grantRequests[m.Request]
	delete(n.grantRequests, m.Request)
	if m.Grant == 0 || request == nil {
		return
	}
	if n.granted[to] == nil {
		n.granted[to] = map[units.GrantNumber]*heldGrant{}
	}
	n.granted[to][m.Grant] = &heldGrant{HeldGrant: peer.HeldGrant{
		Request: m.Request, Attempt: m.Attempt, Server: m.Server, Adapter: request.Adapter, Grant: m.Grant,
	}}
	n.schedule(n.deployment.executionTime, event.PeerReceived{From: to, Message: &peer.GrantRelease{
		Request: m.Request, Attempt: m.Attempt, Server: m.Server, Grant: m.Grant,
	}})
}

// poll answers a poll with the server's report, which it encodes and decodes as JSON.
func (n *node) poll(effect event.PollServer) {
	server := n.servers[effect.Server]
	report := event.ServerReport{
		Start: "engine-1-1790000000000000000", Ready: true, Fence: server.fence, Slots: server.vm.Slots, BatchMax: server.vm.BatchMax, Resident: server.resident,
	}
	for _, held := range n.granted {
		for _, grant := range held {
			if grant.Server == effect.Server {
				report.Requests = append(report.Requests, grant.Request)
				report.Running++
			}
		}
	}
	body, err := json.Marshal(report)
	must.NoError(n.t, err)
	n.backend.add("report", len(body))
	start := time.Now()
	var decoded event.ServerReport
	must.NoError(n.t, json.Unmarshal(body, &decoded))
	n.coreTime += time.Since(start)
	n.schedule(1, event.ReportReceived{Server: effect.Server, Report: decoded, SentAt: n.now})
}

// receive encodes m, decodes it as the links do into empty, a zero message of the same type,
// and passes that to the core. The time to encode is the peer's and isn't counted.
func (n *node) receive(from units.EntryVMID, m peer.Message, empty peer.Message) {
	buf, err := frame.Append(nil, 1, m)
	must.NoError(n.t, err)
	n.received.add(fmt.Sprintf("%T", m)[len("*peer."):], len(buf))
	start := time.Now()
	// The first 5 bytes are the frame's length and tag.
	must.NoError(n.t, frame.Decode(buf[5:], empty))
	must.NoError(n.t, empty.Check())
	n.coreTime += time.Since(start)
	n.step(event.PeerReceived{From: from, Message: empty})
}

// heartbeatOf returns a peer's next heartbeat: the full state of its servers at first and
// on request, otherwise only their load.
func (n *node) heartbeatOf(id units.EntryVMID) *peer.Heartbeat {
	state := n.heartbeats[id]
	if state == nil {
		state = &heartbeatState{}
		n.heartbeats[id] = state
	}
	if !state.sentFull {
		state.servers = n.serversOf(id)
	}
	state.sequence++
	heartbeat := &peer.Heartbeat{Incarnation: 1_790_000_000_000, ConfigOffset: n.core.Table.Next(), Sequence: state.sequence, Full: !state.sentFull}
	for _, server := range state.servers {
		heartbeat.Loads = append(heartbeat.Loads, make([]byte, peer.LoadFigures)...)
		if state.sentFull {
			continue
		}
		summary := peer.ServerSummary{
			Server: units.BackendServerID(server.vm.ID), Fence: 1, Running: 8, BatchMax: server.vm.BatchMax, Slots: server.vm.Slots, Usable: true,
		}
		for _, r := range server.resident {
			summary.Resident = append(summary.Resident, r.AdapterVersion)
		}
		heartbeat.Servers = append(heartbeat.Servers, summary)
	}
	// The peer's servers are final only when the core has a record of all members.
	state.sentFull = len(n.core.Members.Members()) == n.deployment.members
	for _, grant := range n.granted[id] {
		if n.now-grant.renewedAt >= renewPeriod {
			grant.renewedAt = n.now
			heartbeat.GrantsHeld = append(heartbeat.GrantsHeld, peer.HeldGrant{Server: grant.Server, Grant: grant.Grant})
		}
	}
	return heartbeat
}

func (n *node) serversOf(id units.EntryVMID) []*fakeServer {
	var servers []*fakeServer
	for _, server := range n.servers {
		if n.core.Members.OwnerOf(units.BackendServerID(server.vm.ID)) == id {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b *fakeServer) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	return servers
}

// run advances virtual time by length.
func (n *node) run(length clock.Millis) {
	end := n.now + length
	arrivals := 0.0
	for n.now < end {
		n.now += event.TickPeriod
		arrivals += n.deployment.rate * float64(event.TickPeriod) / float64(clock.Second)
		for n.started && len(n.owned) > 0 && arrivals >= 1 {
			arrivals--
			n.injectRequests()
		}
		if n.now%clock.Second == 0 {
			for _, id := range n.peers {
				n.receive(id, n.heartbeatOf(id), &peer.Heartbeat{})
			}
		}
		n.step(event.Tick{})
		n.deliverDue()
	}
}

// deliverDue passes the core the pending events whose time has come.
func (n *node) deliverDue() {
	events := n.pending
	n.pending = nil
	for _, pending := range events {
		if pending.at > n.now {
			n.pending = append(n.pending, pending)
			continue
		}
		received, ok := pending.ev.(event.PeerReceived)
		if !ok {
			n.step(pending.ev)
			continue
		}
		switch m := received.Message.(type) {
		case *peer.GrantReply:
			n.receive(received.From, m, &peer.GrantReply{})
		case *peer.GrantRelease:
			delete(n.granted[received.From], m.Grant)
			n.receive(received.From, m, &peer.GrantRelease{})
		}
	}
}

// injectRequests passes the core one request of a caller and one grant request of a peer
// for a server that it owns.
func (n *node) injectRequests() {
	n.requests++
	id := units.RequestID(fmt.Sprintf("9908a5dc-b610-4840-9e8d-%012d", n.requests))
	n.step(event.RequestArrived{Request: event.Request{
		ID: id, Caller: "village-app", Adapter: n.adapter(n.requests * 7 % (n.deployment.servers * n.deployment.residents)), Idempotent: true, Streamed: true,
		Digest: 1, Prefix: 2, PromptTokens: 400, MaxTokens: 300, Deadline: n.now + clock.Minute,
	}})
	if len(n.peers) == 0 {
		return
	}
	server := n.servers[n.owned[n.requests%len(n.owned)]]
	request := &peer.GrantRequest{
		Request: "b" + id, Attempt: 1, Server: units.BackendServerID(server.vm.ID), Adapter: server.resident[n.requests%len(server.resident)].AdapterVersion,
		Remaining: clock.Minute, Fingerprint: 1, Prefix: 2, Tokens: 700,
	}
	n.grantRequests[request.Request] = request
	n.receive(n.peers[n.requests%len(n.peers)], request, &peer.GrantRequest{})
}

// measured holds the traffic and processor time of one entry VM per second.
type measured struct {
	// SentBytes, SentMessages and ReceivedBytes count peer links, BackendBytes counts
	// backend servers' reports. CoreShare is coreTime as a share of one processor core.
	SentBytes     float64            `json:"sent_bytes_per_s"`
	SentMessages  float64            `json:"sent_messages_per_s"`
	ReceivedBytes float64            `json:"got_bytes_per_s"`
	BackendBytes  float64            `json:"backend_bytes_per_s"`
	CoreShare     float64            `json:"core_share"`
	ByKind        map[string]float64 `json:"sent_bytes_per_s_by_kind"`
}

// measure runs until the number of open requests is steady, and then counts for 30 s of
// virtual time.
func (n *node) measure() measured {
	n.run(n.deployment.executionTime + 3*clock.Second)
	n.sent, n.received, n.backend, n.coreTime = traffic{}, traffic{}, traffic{}, 0
	const length = 30 * clock.Second
	n.run(length)
	seconds := length.Duration().Seconds()
	m := measured{
		SentBytes: float64(n.sent.bytes()) / seconds, SentMessages: float64(n.sent.messages()) / seconds, ReceivedBytes: float64(n.received.bytes()) / seconds,
		BackendBytes: float64(n.backend.bytes()) / seconds, CoreShare: n.coreTime.Seconds() / seconds, ByKind: map[string]float64{},
	}
	for kind, c := range n.sent {
		m.ByKind[kind] = float64(c.bytes) / seconds
	}
	return m
}
