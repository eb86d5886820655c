package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// writePair writes a self-signed certificate with the given serial number, and its key.
func writePair(t *testing.T, certificateFile, keyFile string, serial int64, changed time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	keyBytes, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	write(t, certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), changed)
	write(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyBytes}), changed)
}

func write(t *testing.T, file string, text []byte, changed time.Time) {
	t.Helper()
	must.NoError(t, os.WriteFile(file, text, 0o600))
	must.NoError(t, os.Chtimes(file, changed, changed))
}

func serialOf(r *Reloader) int64 { return r.current().Leaf.SerialNumber.Int64() }

// TestReloaderFollowsItsFiles replaces the files by a new pair, by half a certificate and by
// a new pair again. The valid pairs must be used once checkPeriod has passed; the invalid one
// must be logged, without the key, and leave the last valid one in use.
func TestReloaderFollowsItsFiles(t *testing.T) {
	dir := t.TempDir()
	certificateFile, keyFile := filepath.Join(dir, "serve.crt"), filepath.Join(dir, "serve.key")
	began := time.Unix(1_800_000_000, 0)
	writePair(t, certificateFile, keyFile, 1, began)
	var log strings.Builder
	r, err := New(certificateFile, keyFile, hclog.New(&hclog.LoggerOptions{Output: &log}))
	must.NoError(t, err)
	now := began
	r.now = func() time.Time { return now }
	r.checkedAt = now
	must.Eq(t, 1, serialOf(r))

	writePair(t, certificateFile, keyFile, 2, began.Add(time.Minute))
	must.Eq(t, 1, serialOf(r), must.Sprint("files checked again within checkPeriod"))
	now = now.Add(checkPeriod)
	must.Eq(t, 2, serialOf(r))

	write(t, certificateFile, []byte("half a file"), began.Add(2*time.Minute))
	now = now.Add(checkPeriod)
	must.Eq(t, 2, serialOf(r))
	must.StrContains(t, log.String(), "certificate_not_reloaded")
	must.StrNotContains(t, log.String(), "PRIVATE KEY")

	writePair(t, certificateFile, keyFile, 3, began.Add(3*time.Minute))
	now = now.Add(checkPeriod)
	must.Eq(t, 3, serialOf(r))
}

func TestNewNamesTheRemedy(t *testing.T) {
	_, err := New("none.crt", "none.key", hclog.NewNullLogger())
	must.ErrorContains(t, err, "name a PEM certificate and its key")
}
