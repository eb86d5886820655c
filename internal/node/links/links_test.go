package links

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/node/certs"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	a := &authority{certificate: template, key: key, file: filepath.Join(t.TempDir(), "authority.crt")}
	writePEM(t, a.file, "CERTIFICATE", a.sign(t, template, key))
	return a
}

func (a *authority) sign(t *testing.T, template *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	body, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	return body
}

// issue returns the TLS configuration of an entry VM with a certificate of a that
// trusts a.
func (a *authority) issue(t *testing.T) *certs.Mutual {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	folder := t.TempDir()
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	writePEM(t, filepath.Join(folder, "peer.crt"), "CERTIFICATE", a.sign(t, template, key))
	body, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	writePEM(t, filepath.Join(folder, "peer.key"), "EC PRIVATE KEY", body)
	mutual, err := certs.NewMutual(filepath.Join(folder, "peer.crt"), filepath.Join(folder, "peer.key"), a.file, hclog.NewNullLogger())
	must.NoError(t, err)
	return mutual
}

func writePEM(t *testing.T, path, kind string, body []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600))
}

// side is one entry VM's running Links, with the messages that it received.
type side struct {
	links    *Links
	address  string
	received chan event.PeerReceived
}

func startSide(t *testing.T, self units.EntryVMID, mutual *certs.Mutual) *side {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &side{address: listener.Addr().String(), received: make(chan event.PeerReceived, 64)}
	s.links = New(Options{Self: self, TLS: mutual, Deliver: func(ev event.PeerReceived) bool {
		s.received <- ev
		return true
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.links.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return s
}

// sendUntil sends messages from one side repeatedly until stop is closed, because each
// one may be lost.
func sendUntil(from, to *side, toID units.EntryVMID, stop <-chan struct{}) {
	for {
		from.links.Send(toID, to.address, &peer.ConfigRequest{From: 7})
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestMutualTLSRejectsForeignPeers checks that messages arrive if both sides use plain
// connections or certificates of one authority, and that none arrives if only one side uses
// TLS or if the sides trust different authorities.
func TestMutualTLSRejectsForeignPeers(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	for _, tc := range []struct {
		name     string
		sender   *certs.Mutual
		receiver *certs.Mutual
		passes   bool
	}{
		{"plain on both sides", nil, nil, true},
		{"one authority", own.issue(t), own.issue(t), true},
		{"foreign sender", foreign.issue(t), own.issue(t), false},
		{"foreign receiver", own.issue(t), foreign.issue(t), false},
		{"plain sender", nil, own.issue(t), false},
		{"plain receiver", own.issue(t), nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sender, receiver := startSide(t, "entry-1", tc.sender), startSide(t, "entry-2", tc.receiver)
			stop := make(chan struct{})
			defer close(stop)
			go sendUntil(sender, receiver, "entry-2", stop)
			if tc.passes {
				ev := <-receiver.received
				must.Eq(t, "entry-1", ev.From)
				must.Eq(t, peer.Message(&peer.ConfigRequest{From: 7}), ev.Message)
				return
			}
			// Messages of a valid sender arrive afterwards, and none of the rejected one.
			valid := startSide(t, "entry-3", tc.receiver)
			go sendUntil(valid, receiver, "entry-2", stop)
			for range 5 {
				ev := <-receiver.received
				must.Eq(t, "entry-3", ev.From)
			}
		})
	}
}

// TestReplacedEntryVMReceivesNextMessage replaces the receiver by a new one at the same
// address. The first message sent after that must be delivered; a sender that still used
// the old connection would lose it.
func TestReplacedEntryVMReceivesNextMessage(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	sender := startSide(t, "entry-1", nil)
	for range 3 {
		received := make(chan event.PeerReceived, 8)
		receiver := New(Options{Self: "entry-2", Deliver: func(ev event.PeerReceived) bool {
			received <- ev
			return true
		}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- receiver.Run(ctx, listener) }()
		waitConns(sender, 0)
		for !sender.links.Send("entry-2", address, &peer.ConfigRequest{From: 7}) {
			time.Sleep(time.Millisecond)
		}
		must.Eq(t, "entry-1", (<-received).From)
		cancel()
		must.NoError(t, <-done)
		listener, err = net.Listen("tcp", address)
		must.NoError(t, err)
	}
	must.NoError(t, listener.Close())
}

// waitConns waits until s has want open connections, that is, until it has noticed that
// the remote side closed one.
func waitConns(s *side, want int) {
	for {
		s.links.mu.Lock()
		open := 0
		for conn := range s.links.conns {
			if conn.SetWriteDeadline(time.Time{}) == nil {
				open++
			}
		}
		s.links.mu.Unlock()
		if open == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
