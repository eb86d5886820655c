//go:build wholerun

package whole

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"mangostile/internal/core/event"
	"mangostile/internal/fake/relay"
)

// network connects the entry VMs of a deployment to each other and to the platform
// through relays, and serves each entry VM its own view of the VM list.
type network struct {
	entries []event.VM
	list    string
	// peers and serves hold a relay for each ordered pair of entry VMs, logs one for
	// each entry VM.
	peers  map[[2]string]*relay.Relay
	serves map[[2]string]*relay.Relay
	logs   map[string]*relay.Relay

	mu        sync.Mutex
	listDown  map[string]bool
	listViews map[string]string
	servers   []*http.Server
}

// One-way network delays between failure domains and between regions.
const (
	domainDelay = time.Millisecond
	regionDelay = 30 * time.Millisecond
)

func newNetwork(entries []event.VM, logAddress, listAddress string) (*network, error) {
	n := &network{
		entries: entries, list: listAddress, peers: map[[2]string]*relay.Relay{}, serves: map[[2]string]*relay.Relay{}, logs: map[string]*relay.Relay{},
		listDown: map[string]bool{}, listViews: map[string]string{},
	}
	// The delays place the log service in the failure domain of the first entry VM.
	home := entries[0].Region
	for _, from := range entries {
		var err error
		if n.logs[from.ID], err = relay.New(logAddress, delayBetween(from.FailureDomain != entries[0].FailureDomain, from.Region != home)); err != nil {
			return nil, err
		}
		for _, to := range entries {
			if from.ID == to.ID {
				continue
			}
			delay := delayBetween(from.FailureDomain != to.FailureDomain, from.Region != to.Region)
			pair := [2]string{from.ID, to.ID}
			if n.peers[pair], err = relay.New(to.Address, delay); err != nil {
				return nil, err
			}
			if n.serves[pair], err = relay.New(to.ServeAddress, delay); err != nil {
				return nil, err
			}
		}
		if err := n.serveView(from.ID); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func delayBetween(otherDomain, otherRegion bool) time.Duration {
	switch {
	case otherRegion:
		return regionDelay
	case otherDomain:
		return domainDelay
	default:
		return 0
	}
}

// serveView serves the VM list as one entry VM sees it, with the addresses of its relays
// to the others.
func (n *network) serveView(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.listViews[id] = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.serveList(w, r, id) }), ReadTimeout: time.Minute}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (n *network) serveList(w http.ResponseWriter, r *http.Request, id string) {
	n.mu.Lock()
	down := n.listDown[id]
	n.mu.Unlock()
	var answer struct {
		VMs []event.VM `json:"vms"`
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+n.list+"/v1/vms", nil)
	if err != nil || down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	req.Header.Set("If-None-Match", r.Header.Get("If-None-Match"))
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err == nil && resp.StatusCode == http.StatusNotModified {
		_ = resp.Body.Close()
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if err == nil {
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
	}
	if err != nil {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("ETag", resp.Header.Get("ETag"))
	for i := range answer.VMs {
		vm := &answer.VMs[i]
		pair := [2]string{id, vm.ID}
		if vm.Entry && n.peers[pair] != nil {
			vm.Address, vm.ServeAddress = n.peers[pair].Address(), n.serves[pair].Address()
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// cutDomain disconnects a failure domain from the others and from the platform, or
// reconnects it. With oneWay, only traffic that leaves the domain is held back; the VM
// list is unavailable to the domain in either case.
func (n *network) cutDomain(domain string, cut, oneWay bool) {
	inside := map[string]bool{}
	for _, vm := range n.entries {
		inside[vm.ID] = string(vm.FailureDomain) == domain
	}
	for _, relays := range []map[[2]string]*relay.Relay{n.peers, n.serves} {
		for pair, r := range relays {
			switch {
			case inside[pair[0]] == inside[pair[1]]:
			case inside[pair[0]]:
				r.Cut(cut, cut && !oneWay)
			default:
				r.Cut(cut && !oneWay, cut)
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, r := range n.logs {
		if inside[id] {
			r.Cut(cut, cut && !oneWay)
			n.listDown[id] = cut
		}
	}
}

// traffic returns the bytes on the peer links that each entry VM opened, and the sum of
// those between regions.
func (n *network) traffic() (byEntry map[string]int64, regions int64) {
	byEntry = map[string]int64{}
	region := map[string]string{}
	for _, vm := range n.entries {
		region[vm.ID] = string(vm.Region)
	}
	for pair, r := range n.peers {
		bytes := r.Bytes()
		byEntry[pair[0]] += bytes
		if region[pair[0]] != region[pair[1]] {
			regions += bytes
		}
	}
	return byEntry, regions
}

func (n *network) logBytes() (sum int64) {
	for _, r := range n.logs {
		sum += r.Bytes()
	}
	return sum
}

func (n *network) close() {
	for _, relays := range []map[[2]string]*relay.Relay{n.peers, n.serves} {
		for _, r := range relays {
			r.Close()
		}
	}
	for _, r := range n.logs {
		r.Close()
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
}

// ports allocates each free loopback port once, below the range that is used for
// outgoing connections.
var ports struct {
	mu   sync.Mutex
	next int
}

func freePort() (int, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for ports.next = max(ports.next, *firstPort); ports.next < 32000; {
		port := ports.next
		ports.next++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free loopback port below 32000; choose a lower -port")
}
