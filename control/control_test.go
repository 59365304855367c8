package control

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// Message is exported because net/rpc registers only methods whose argument and
// reply types are exported.
type Message struct {
	Text string `cbor:"1,keyasint"`
}

func (m *Message) Validate() error {
	if m.Text == "invalid" {
		return errors.New("invalid text")
	}
	return nil
}

// echoService is the service of the test server.
type echoService struct {
	// entered receives a value when Wait is called.
	entered chan struct{}
	// release is closed to let Wait return.
	release chan struct{}
}

func (e *echoService) Echo(args, reply *Message) error {
	reply.Text = args.Text
	return nil
}

func (e *echoService) Fail(args, _ *Message) error { return errors.New(args.Text) }

func (e *echoService) Double(args, reply *Message) error {
	reply.Text = args.Text + args.Text
	return nil
}

func (e *echoService) Wait(args, reply *Message) error {
	e.entered <- struct{}{}
	<-e.release
	reply.Text = "late"
	return nil
}

// testConfig returns a TLS configuration for clients and servers on 127.0.0.1.
func testConfig(t testing.TB) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool,
	}
}

// testServer is a Server that serves an echoService.
type testServer struct {
	*Server
	echo *echoService
	addr netip.AddrPort
	// done receives the result of Serve.
	done chan error
}

func (s *testServer) run(l net.Listener) { s.done <- s.Serve(l) }

// serve starts a server with an echoService at the TCP address.
func serve(t testing.TB, config *tls.Config, address string, opts ...Option) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	s := &testServer{
		Server: NewServer(config, opts...),
		echo:   &echoService{entered: make(chan struct{}), release: make(chan struct{})},
		addr:   netip.MustParseAddrPort(l.Addr().String()),
		done:   make(chan error, 1),
	}
	assert.NilError(t, s.Register("Echo", s.echo))
	go s.run(l)
	return s
}

func (s *testServer) stop(t testing.TB) {
	t.Helper()
	assert.NilError(t, s.Close())
	assert.NilError(t, <-s.done)
}

// TestCallOutcomes checks the error type of each kind of failed call, that reply
// is modified only by successful calls, and which failures close the connection.
func TestCallOutcomes(t *testing.T) {
	defer goleak.VerifyNone(t)
	config := testConfig(t)
	s := serve(t, config, "127.0.0.1:0", WithMaxMessage(256))
	c := NewClient(config, WithMaxMessage(512))
	ctx := context.Background()
	var remote *RemoteError
	for _, tt := range []struct {
		method, text, want string
		check              func(error) bool
	}{
		{method: "Echo.Echo", text: "hello", want: "hello"},
		{method: "Echo.Fail", text: "no luck", check: func(err error) bool {
			return errors.As(err, &remote) && remote.Message == "no luck"
		}},
		{method: "Echo.Missing", check: func(err error) bool { return errors.As(err, &remote) }},
		// The response exceeds the server's size limit; the connection stays open.
		{method: "Echo.Double", text: strings.Repeat("x", 200), check: func(err error) bool {
			return errors.As(err, &remote) && strings.Contains(remote.Message, "size limit")
		}},
		// The request exceeds the client's size limit: nothing is sent.
		{method: "Echo.Echo", text: strings.Repeat("x", 600), check: IsNotSent},
		// The request exceeds the server's size limit: the server closes the connection.
		{method: "Echo.Echo", text: strings.Repeat("x", 400), check: IsAnswerLost},
		// The request fails validation: the server closes the connection.
		{method: "Echo.Echo", text: "invalid", check: IsAnswerLost},
		{method: "Echo.Echo", text: "again", want: "again"},
	} {
		reply := Message{Text: "untouched"}
		err := c.Call(ctx, s.addr, tt.method, &Message{Text: tt.text}, &reply)
		if tt.check == nil {
			assert.NilError(t, err)
			assert.Equal(t, reply.Text, tt.want)
			continue
		}
		assert.Assert(t, tt.check(err), "%s %q: %v", tt.method, tt.text, err)
		assert.Equal(t, reply.Text, "untouched")
	}
	assert.NilError(t, c.Close())
	assert.Assert(t, IsNotSent(c.Call(ctx, s.addr, "Echo.Echo", &Message{}, &Message{})))
	s.stop(t)
	counters := s.Counters()
	assert.Equal(t, counters.Oversized, uint64(1))
	assert.Equal(t, counters.Malformed, uint64(1))
	assert.Equal(t, counters.Handshakes, uint64(3), "the first connection, and one after each of the two that were closed")
	assert.Equal(t, counters.Resumed, uint64(2))
}

// TestCancelAndServerRestart checks that a cancelled call is reported as
// AnswerLost and leaves the connection usable, that the client reconnects to a
// restarted server, and that a call without a server is reported as NotSent.
func TestCancelAndServerRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	config := testConfig(t)
	s := serve(t, config, "127.0.0.1:0")
	c := NewClient(config)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	reply := Message{Text: "untouched"}
	pending := waitCall{c, s.addr, &reply, result}

	go pending.run(ctx)
	<-s.echo.entered
	cancel()
	assert.Assert(t, IsAnswerLost(<-result), "the call was cancelled after it was sent")
	close(s.echo.release)

	// The connection still works, and the late response is discarded.
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{Text: "next"}, &Message{}))
	assert.Equal(t, reply.Text, "untouched")
	assert.Equal(t, c.Counters().Handshakes, uint64(1))
	assert.Equal(t, s.Counters().BytesIn, c.Counters().BytesOut)

	// The server restarts at the same address. The first call may still use the
	// pooled connection to the old server and lose its response; the next one must
	// succeed.
	s.stop(t)
	s = serve(t, config, s.addr.String())
	err := c.Call(context.Background(), s.addr, "Echo.Echo", &Message{Text: "new"}, &reply)
	assert.Assert(t, err == nil || IsAnswerLost(err), "%v", err)
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{Text: "new"}, &reply))

	// Nothing listens at the address: the first dial fails, and the next call does
	// not dial because of the backoff.
	s.stop(t)
	for range 2 {
		err = c.Call(context.Background(), s.addr, "Echo.Echo", &Message{}, &Message{})
		for IsAnswerLost(err) {
			err = c.Call(context.Background(), s.addr, "Echo.Echo", &Message{}, &Message{})
		}
		assert.Assert(t, IsNotSent(err), "%v", err)
	}
	assert.Assert(t, errors.Is(err, errBackoff), "%v", err)
	assert.NilError(t, c.Close())
}

// waitCall is a call of Echo.Wait, which blocks until the test releases it.
type waitCall struct {
	client *Client
	addr   netip.AddrPort
	reply  *Message
	result chan error
}

func (c waitCall) run(ctx context.Context) {
	c.result <- c.client.Call(ctx, c.addr, "Echo.Wait", &Message{}, c.reply)
}

// manualDeadline is a context whose deadline is exceeded when done is closed.
type manualDeadline struct {
	context.Context
	done chan struct{}
}

func (d manualDeadline) Deadline() (time.Time, bool) { return time.Now().Add(time.Hour), true }
func (d manualDeadline) Done() <-chan struct{}       { return d.done }
func (d manualDeadline) Err() error                  { return context.DeadlineExceeded }

// TestTimeoutClosesSilentConnection checks that a call that times out without
// having received anything closes its connection, so that the next call dials.
// Otherwise calls would keep timing out on a dead connection.
func TestTimeoutClosesSilentConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	config := testConfig(t)
	s := serve(t, config, "127.0.0.1:0")
	c := NewClient(config)
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{}, &Message{}))
	ctx := manualDeadline{context.Background(), make(chan struct{})}
	pending := waitCall{c, s.addr, &Message{}, make(chan error, 1)}
	go pending.run(ctx)
	<-s.echo.entered
	close(ctx.done)
	assert.Assert(t, IsAnswerLost(<-pending.result))
	assert.Equal(t, c.Counters().Silent, uint64(1))
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{}, &Message{}))
	assert.Equal(t, c.Counters().Handshakes, uint64(2))
	close(s.echo.release)
	assert.NilError(t, c.Close())
	s.stop(t)
}

func TestClientWithoutCertificateIsRefused(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := serve(t, testConfig(t), "127.0.0.1:0")
	raw, err := net.Dial("tcp", s.addr.String())
	assert.NilError(t, err)
	conn := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
	_ = conn.Handshake()
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	raw.Close()
	s.stop(t)
	assert.Equal(t, s.Counters().Refused, uint64(1))
	assert.Equal(t, s.Counters().Handshakes, uint64(0))
}

// frame returns a frame with the CBOR encodings of the parts.
func frame(t testing.TB, parts ...any) []byte {
	t.Helper()
	var body []byte
	for _, part := range parts {
		encoded, err := cbor.Marshal(part)
		assert.NilError(t, err)
		body = append(body, encoded...)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// memoryConn is a net.Conn that reads from in and discards what is written.
type memoryConn struct {
	net.Conn
	in io.Reader
}

func (c memoryConn) Read(p []byte) (int, error)     { return c.in.Read(p) }
func (memoryConn) Write(p []byte) (int, error)      { return len(p), nil }
func (memoryConn) Close() error                     { return nil }
func (memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (memoryConn) SetWriteDeadline(time.Time) error { return nil }
func (memoryConn) RemoteAddr() net.Addr             { return nil }

// addSeeds adds valid, incomplete, oversized and malformed frames to the corpus.
func addSeeds(f *testing.F) {
	valid := frame(f, requestHeader{1, "Echo.Echo"}, Message{"hi"})
	f.Add(valid)
	f.Add(frame(f, requestHeader{2, "Echo.Echo"}, Message{"invalid"}))
	f.Add(frame(f, responseHeader{1, ""}, Message{"hi"}))
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x00})
	f.Add([]byte{0, 0, 0, 3, 0x9f, 0x9f, 0x9f})
	f.Add([]byte{0, 0, 0, 0})
}

func FuzzServer(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		server := rpc.NewServer()
		assert.NilError(t, server.RegisterName("Echo", &immediateEcho{}))
		var stats counters
		conn := memoryConn{in: bytes.NewReader(data)}
		server.ServeCodec(newServerCodec(newFramer(conn, &stats, newOptions(nil))))
	})
}

// immediateEcho is an echo service without blocking methods.
type immediateEcho struct{}

// Echo copies args to reply.
func (*immediateEcho) Echo(args, reply *Message) error {
	*reply = *args
	return nil
}

func FuzzClient(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var stats counters
		codec := &clientCodec{framer: newFramer(memoryConn{in: bytes.NewReader(data)}, &stats, newOptions(nil))}
		for {
			var response rpc.Response
			if codec.ReadResponseHeader(&response) != nil {
				return
			}
			if codec.ReadResponseBody(&Message{}) != nil {
				return
			}
		}
	})
}

func BenchmarkCall(b *testing.B) {
	config := testConfig(b)
	s := serve(b, config, "127.0.0.1:0")
	c := NewClient(config)
	defer c.Close()
	ctx := context.Background()
	for _, size := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			args := &Message{Text: strings.Repeat("x", size)}
			assert.NilError(b, c.Call(ctx, s.addr, "Echo.Echo", args, &Message{}))
			before := c.Counters()
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, c.Call(ctx, s.addr, "Echo.Echo", args, &Message{}))
			}
			after := c.Counters()
			b.ReportMetric(float64(after.BytesOut-before.BytesOut)/float64(b.N), "B-out/op")
			b.ReportMetric(float64(after.BytesIn-before.BytesIn)/float64(b.N), "B-in/op")
			b.ReportMetric(float64(after.Handshakes-before.Handshakes), "handshakes")
		})
	}
	s.stop(b)
}
