package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Mutual holds the configurations for mutual TLS between entry VMs. Each side must
// present a certificate signed by a trusted authority. Host names are not checked, because
// entry VMs are addressed by IP address and can be replaced at any time.
type Mutual struct {
	// Client is for outgoing connections, Server for accepted ones.
	Client *tls.Config
	Server *tls.Config
}

// NewMutual reads a certificate, its key and the certificates of the trusted authorities
// from PEM files. It fails if certificate and key are not a valid pair or if authorityFile
// has no certificate. The certificate is reloaded when its files change; the authorities are
// read only once.
func NewMutual(certificateFile, keyFile, authorityFile string, logger hclog.Logger) (*Mutual, error) {
	reloader, err := New(certificateFile, keyFile, logger)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificate authority: name an existing PEM file")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("certificate authority %s: holds no PEM certificate: name the file of the authority that signs the entry VMs' certificates", authorityFile)
	}
	verify := func(state tls.ConnectionState) error { return verifyChain(state, authorities) }
	return &Mutual{
		Client: &tls.Config{
			MinVersion: tls.VersionTLS13,
			// Only the host name is not verified: VerifyConnection verifies the chain.
			InsecureSkipVerify:   true,
			VerifyConnection:     verify,
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.current(), nil },
		},
		Server: &tls.Config{
			MinVersion:       tls.VersionTLS13,
			ClientAuth:       tls.RequireAnyClientCert,
			VerifyConnection: verify,
			GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.current(), nil },
		},
	}, nil
}

// verifyChain checks that the remote certificate is currently valid and signed by one of
// the authorities.
func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other entry VM shows no certificate: set tls.peer_certificate_file there")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "certificate of the other entry VM: have it signed by an authority of tls.peer_authority_file")
}
