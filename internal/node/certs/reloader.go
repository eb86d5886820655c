// Package certs provides TLS configurations whose certificate is reloaded when its files
// change.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// checkPeriod is the minimum time between two checks of the files for changes.
const checkPeriod = time.Second

// Reloader holds a certificate and reloads it when its files change. If the new files are
// invalid, it logs a warning and continues with the last valid certificate. It is safe for
// concurrent use.
type Reloader struct {
	certificateFile string
	keyFile         string
	logger          hclog.Logger
	// now is time.Now; tests replace it.
	now func() time.Time

	mu          sync.Mutex
	certificate *tls.Certificate
	// stamp has the sizes and times of the certificate and key files that were read last,
	// valid or not. Other values mean that the files have changed.
	stamp     [2]fileStamp
	checkedAt time.Time
}

type fileStamp struct {
	size    int64
	modTime time.Time
}

// New reads a certificate and its key from PEM files. It fails if they are not a valid
// pair.
func New(certificateFile, keyFile string, logger hclog.Logger) (*Reloader, error) {
	r := &Reloader{certificateFile: certificateFile, keyFile: keyFile, logger: logger, now: time.Now}
	r.stamp = r.fileStamps()
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s: name a PEM certificate and its key", certificateFile)
	}
	r.certificate, r.checkedAt = &certificate, r.now()
	return r, nil
}

// Config returns a server's configuration that always uses the current certificate.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(), nil },
	}
}

// current returns the certificate to use, after reloading it if the files have changed.
func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checkedAt) < checkPeriod {
		return r.certificate
	}
	r.checkedAt = now
	stamp := r.fileStamps()
	if stamp == r.stamp {
		return r.certificate
	}
	r.stamp = stamp
	certificate, err := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if err != nil {
		r.logger.Warn("certificate_not_reloaded", "file", r.certificateFile, "remedy", "replace certificate and key by a pair", "error", err)
		return r.certificate
	}
	r.logger.Info("certificate_reloaded", "file", r.certificateFile)
	r.certificate = &certificate
	return r.certificate
}

// fileStamps returns the stamps of the certificate and key files. That of a file that can't
// be read is zero.
func (r *Reloader) fileStamps() (stamps [2]fileStamp) {
	for i, name := range []string{r.certificateFile, r.keyFile} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{size: info.Size(), modTime: info.ModTime()}
		}
	}
	return stamps
}
