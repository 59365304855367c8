package main

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// credentialFiles name the PEM files of one side of a TLS connection.
type credentialFiles struct {
	cert, key, ca string
}

// mutual returns the configuration of connections between the system's own
// processes: both sides show a certificate signed by the same authority.
// Names are not checked, because processes know each other by IP address only
// and any of them may be replaced at another address.
func (f credentialFiles) mutual() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, trace.Wrap(err, "read control certificate")
	}
	pem, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("file %s: no certificate in it", f.ca)
	}
	return mutualConfig(cert, pool), nil
}

// callers returns the configuration that callers of a service meet.
func (f credentialFiles) callers() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, trace.Wrap(err, "read caller certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}, nil
}

func mutualConfig(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
		// The chain is verified below, without a name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, pool)
		},
	}
}

// verifyChain checks that the peer's certificate leads to an authority in pool.
func verifyChain(chain []*x509.Certificate, pool *x509.CertPool) error {
	if len(chain) == 0 {
		return trace.AccessDenied("the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err, "verify the peer's certificate")
}
