package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"headhill.example/headhill/pkg/settings"
)

// CredentialsError is returned if the certificate, key or roots of the peer port cannot be
// used.
type CredentialsError struct {
	File  string
	Cause error
}

func (e *CredentialsError) Error() string {
	return fmt.Sprintf("cannot use peer credentials in %s: %v; check cert, key and roots in [peers]", e.File, e.Cause)
}

func (e *CredentialsError) Unwrap() error { return e.Cause }

// Credentials creates the gRPC credentials for both sides of a link.
type Credentials struct {
	tls *tls.Config
}

// LoadCredentials reads the certificate, key and roots named in the settings and verifies
// the certificate against the roots. In plain mode it returns insecure credentials.
func LoadCredentials(p settings.Peers) (*Credentials, error) {
	if p.Mode == settings.PeerModePlain {
		return &Credentials{}, nil
	}
	cert, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
	if err != nil {
		return nil, &CredentialsError{File: p.CertFile, Cause: err}
	}
	pem, err := os.ReadFile(p.RootsFile)
	if err != nil {
		return nil, &CredentialsError{File: p.RootsFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &CredentialsError{File: p.RootsFile, Cause: fmt.Errorf("file contains no certificate")}
	}
	_, err = cert.Leaf.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return nil, &CredentialsError{File: p.CertFile, Cause: err}
	}
	return &Credentials{tls: &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}}, nil
}

// server returns the credentials for the peer port.
func (s *Credentials) server() credentials.TransportCredentials {
	if s.tls == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.tls)
}

// client returns the credentials for connecting to a box, whose certificate must name its
// ID.
func (s *Credentials) client(box string) credentials.TransportCredentials {
	if s.tls == nil {
		return insecure.NewCredentials()
	}
	c := s.tls.Clone()
	c.ServerName = box
	return credentials.NewTLS(c)
}

// seed returns the credentials for connecting to a box of unknown ID: its certificate must
// be signed by the roots, but may name any box.
func (s *Credentials) seed() credentials.TransportCredentials {
	if s.tls == nil {
		return insecure.NewCredentials()
	}
	c := s.tls.Clone()
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(st tls.ConnectionState) error {
		pool := x509.NewCertPool()
		for _, cert := range st.PeerCertificates[1:] {
			pool.AddCert(cert)
		}
		_, err := st.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: c.RootCAs, Intermediates: pool})
		return err
	}
	return credentials.NewTLS(c)
}

// certificateNames reports whether the client's certificate names the given box.
func certificateNames(info credentials.AuthInfo, box string) bool {
	t, ok := info.(credentials.TLSInfo)
	if !ok {
		return true
	}
	certs := t.State.PeerCertificates
	return len(certs) > 0 && certs[0].VerifyHostname(box) == nil
}
