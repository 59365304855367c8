package main

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// credentialFiles are the paths of the PEM files for one side of a TLS connection.
type credentialFiles struct {
	cert, key, ca string
}

// mutualTLS returns the mutual TLS configuration for connections between balancers,
// agents and operators' commands: both sides present a certificate signed by the
// same authority. Names are not verified, because processes know each other only
// by IP address, and a process may be replaced at another address.
func (f credentialFiles) mutualTLS() (*tls.Config, error) {
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
		return nil, trace.BadParameter("file %s contains no PEM certificate", f.ca)
	}
	return mutualConfig(cert, pool), nil
}

// serverTLS returns the TLS configuration with which an agent serves callers.
func (f credentialFiles) serverTLS() (*tls.Config, error) {
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
		// Skips only the check of the host name: VerifyConnection verifies the chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, pool)
		},
	}
}

// verifyChain verifies that the peer's certificate chains to an authority in pool.
func verifyChain(chain []*x509.Certificate, pool *x509.CertPool) error {
	if len(chain) == 0 {
		return trace.AccessDenied("peer presented no certificate")
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
	return trace.Wrap(err, "verify peer certificate")
}
