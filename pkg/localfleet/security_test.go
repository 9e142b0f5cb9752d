package localfleet

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"headhill.example/headhill/pkg/adminclient"
	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/settings"
)

// authority issues certificates for boxes.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
	n    int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := &authority{key: key, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "root"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write(t, "roots.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a box's certificate and key and returns peer settings that use them.
func (a *authority) issue(t *testing.T, box string) settings.Peers {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.n++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.n + 1), DNSNames: []string{box},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return settings.Peers{
		Mode:      settings.PeerModeTLS,
		CertFile:  a.write(t, box+".pem", "CERTIFICATE", der),
		KeyFile:   a.write(t, box+".key", "EC PRIVATE KEY", private),
		RootsFile: filepath.Join(a.dir, "roots.pem"),
	}
}

// openLink tries to open a link to the box at address, with the given box ID.
func openLink(ctx context.Context, creds credentials.TransportCredentials, address, id string) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	s, err := peerpb.NewPeerClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	err = s.Send(&peerpb.Up{Messages: []*peerpb.UpMessage{{Kind: &peerpb.UpMessage_Heartbeat{Heartbeat: &peerpb.Heartbeat{Box: id, Incarnation: "x"}}}}})
	if err != nil {
		return err
	}
	_, err = s.Recv()
	return err
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	change := func(o *Options) {
		o.ModifySettings = func(s *settings.Settings) {
			seeds := s.Peers.Seeds
			s.Peers = ours.issue(t, s.Box.ID)
			s.Peers.Seeds = seeds
		}
	}
	withFleet(t, change, func(ctx context.Context, f *Fleet) {
		for i := range f.Boxes {
			resp, err := Chat(ctx, f.CallerURL(i), "over tls", nil)
			require.NoError(t, err)
			require.NoError(t, checkResponse(resp, "over tls"))
		}
		address := f.Boxes[0].PeerAddr()
		creds := func(p settings.Peers) credentials.TransportCredentials {
			cert, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
			require.NoError(t, err)
			pool := x509.NewCertPool()
			pool.AddCert(ours.cert)
			return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: f.BoxName(0)})
		}
		require.NoError(t, openLink(ctx, creds(ours.issue(t, "box-9")), address, "box-9"))
		require.ErrorContains(t, openLink(ctx, creds(ours.issue(t, "box-9")), address, f.BoxName(1)), "does not name box")
		require.Error(t, openLink(ctx, creds(others.issue(t, f.BoxName(1))), address, f.BoxName(1)), "signed by other roots")
		require.Error(t, openLink(ctx, insecure.NewCredentials(), address, f.BoxName(1)), "no certificate")
	})
}

func TestCallerLimitsAndPortIsolation(t *testing.T) {
	change := func(o *Options) {
		o.ModifySettings = func(s *settings.Settings) {
			s.Limits.MaxBodyBytes = 64 << 10
			s.Limits.MaxHeaderBytes = 8 << 10
			s.Limits.HeaderTimeout = 300 * time.Millisecond
			s.Limits.BodyTimeout = 300 * time.Millisecond
		}
	}
	withFleet(t, change, func(ctx context.Context, f *Fleet) {
		call := func(body string, h http.Header) Response {
			resp, err := do(ctx, http.MethodPost, f.CallerURL(0)+"/v1/chat/completions", []byte(body), h)
			require.NoError(t, err)
			return resp
		}
		good := `{"model":"` + Model + `","messages":[{"role":"user","content":"x"}]}`
		for _, c := range []struct {
			name, body string
			header     http.Header
			status     int
			message    string
		}{
			{"unknown key", good, http.Header{"Authorization": {"Bearer nobody"}}, 401, "API key"},
			{"operator's token", good, http.Header{"Authorization": {"Bearer " + OperatorToken}}, 401, "API key"},
			{"unknown class", good, http.Header{api.HeaderClass: {"no-such-class"}}, 400, "no-such-class"},
			{"bad repeatable", good, http.Header{api.HeaderRepeatable: {"maybe"}}, 400, "yes or no"},
			{"invalid JSON", "hello", nil, 400, "JSON"},
			{"no messages", `{"model":"m"}`, nil, 400, "messages"},
			{"unknown model", strings.Replace(good, Model, "other", 1), nil, 404, "other"},
			{"too large", `{"model":"` + strings.Repeat("x", 100<<10), nil, 413, "limits"},
			{"long key", good, http.Header{api.HeaderIdempotencyKey: {strings.Repeat("k", 300)}}, 400, "shorten"},
		} {
			resp := call(c.body, c.header)
			require.Equal(t, c.status, resp.Status, "%s: %s", c.name, resp.Text)
			require.Equal(t, api.OutcomeNotRun, resp.Outcome, c.name)
			require.Contains(t, resp.Error.Message, c.message, c.name)
		}
		for _, path := range []string{"/v1/plan", "/v1/confirm", "/v1/config", "/metrics", "/v1/status"} {
			resp, err := do(ctx, http.MethodGet, f.CallerURL(0)+path, nil, http.Header{"Authorization": {"Bearer " + OperatorToken}})
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, resp.Status, "%s is served on the caller port", path)
		}
		_, err := adminclient.New("http://"+f.Boxes[0].AdminAddr(), CallerKey).Config(ctx)
		require.ErrorContains(t, err, "no operator has this token")
		for _, e := range f.Engines {
			require.Zero(t, e.Stats().Started, "a rejected request ran")
		}
		checkSlowCallers(t, f.Boxes[0].CallerAddr())
		checkSmuggling(t, f.Boxes[0].CallerAddr())
	})
}

// checkSlowCallers checks that callers that send their header or body too slowly are
// disconnected.
func checkSlowCallers(t *testing.T, address string) {
	t.Helper()
	for _, start := range []string{
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + CallerKey + "\r\nContent-Length: 1000\r\n\r\n{",
	} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(c, start)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		_, err = io.Copy(io.Discard, c)
		require.NoError(t, err, "slow caller was not disconnected")
		c.Close()
	}
}

// checkSmuggling checks that requests of ambiguous length are rejected.
func checkSmuggling(t *testing.T, address string) {
	t.Helper()
	for _, headers := range []string{
		"Content-Length: 5\r\nContent-Length: 6",
		"Content-Length: 5\r\nTransfer-Encoding: xchunked",
		"Transfer-Encoding: chunked, identity",
		"Content-Length: +5",
	} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s\r\n\r\nhello", headers)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.GreaterOrEqual(t, r.StatusCode, 400, headers)
		require.NotEqual(t, http.StatusUnauthorized, r.StatusCode, "request with %s was accepted", headers)
		c.Close()
	}
}
