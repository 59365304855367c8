package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/gravitational/trace"
)

// _throwawayCertLifetime is how long the certificates of a fleet on loopback are valid.
const _throwawayCertLifetime = time.Hour

// authority is a temporary certificate authority for one fleet on loopback.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// newAuthority creates an authority with a new key.
func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err, "generate key of temporary authority")
	}
	template := certificateTemplate("dandelionhitch try")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, trace.Wrap(err, "create certificate of temporary authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err, "create certificate of temporary authority")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert: cert, key: key, pool: pool}, nil
}

// issue returns a certificate for name, with a new key.
func (a *authority) issue(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, trace.Wrap(err, "generate temporary key for %s", name)
	}
	template := certificateTemplate(name)
	template.DNSNames = []string{name}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, trace.Wrap(err, "sign temporary certificate for %s", name)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(_throwawayCertLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
