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

// Message is exported because net/rpc calls no methods with other types.
type Message struct {
	Text string `cbor:"1,keyasint"`
}

func (m *Message) Validate() error {
	if m.Text == "invalid" {
		return errors.New("invalid text")
	}
	return nil
}

type echoService struct {
	entered chan struct{}
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

// testConfig returns a configuration that serves both ends on 127.0.0.1.
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

type testServer struct {
	*Server
	echo *echoService
	addr netip.AddrPort
	done chan error
}

func (s *testServer) run(l net.Listener) { s.done <- s.Serve(l) }

func serve(t testing.TB, config *tls.Config, at string, opts ...Option) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", at)
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

func TestCalls(t *testing.T) {
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
		// The server's answer is over its own bound; the connection survives.
		{method: "Echo.Double", text: strings.Repeat("x", 200), check: func(err error) bool {
			return errors.As(err, &remote) && strings.Contains(remote.Message, "size bound")
		}},
		// The request is over the client's bound: nothing is sent.
		{method: "Echo.Echo", text: strings.Repeat("x", 600), check: IsNotSent},
		// The request is over the server's bound: the connection is closed.
		{method: "Echo.Echo", text: strings.Repeat("x", 400), check: IsAnswerLost},
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
	counted := s.Counters()
	assert.Equal(t, counted.Oversized, uint64(1))
	assert.Equal(t, counted.Malformed, uint64(1))
	assert.Equal(t, counted.Handshakes, uint64(3), "one connection, and one after each that was closed")
	assert.Equal(t, counted.Resumed, uint64(2))
}

func TestAnswerLostAndNotSent(t *testing.T) {
	defer goleak.VerifyNone(t)
	config := testConfig(t)
	s := serve(t, config, "127.0.0.1:0")
	c := NewClient(config)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	reply := Message{Text: "untouched"}
	caller := waitCall{c, s.addr, &reply, result}

	go caller.run(ctx)
	<-s.echo.entered
	cancel()
	assert.Assert(t, IsAnswerLost(<-result), "given up on by its caller")
	close(s.echo.release)

	// The connection still works, and the late answer reaches nobody.
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{Text: "next"}, &Message{}))
	assert.Equal(t, reply.Text, "untouched")
	assert.Equal(t, c.Counters().Handshakes, uint64(1))
	assert.Equal(t, s.Counters().BytesIn, c.Counters().BytesOut)

	// A server that restarts at its address is found through a pooled connection.
	s.stop(t)
	s = serve(t, config, s.addr.String())
	err := c.Call(context.Background(), s.addr, "Echo.Echo", &Message{Text: "new"}, &reply)
	assert.Assert(t, err == nil || IsAnswerLost(err), "%v", err)
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{Text: "new"}, &reply))

	// Nothing listens: not sent, and not even tried during the pause.
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

type waitCall struct {
	client *Client
	addr   netip.AddrPort
	reply  *Message
	result chan error
}

func (c waitCall) run(ctx context.Context) {
	c.result <- c.client.Call(ctx, c.addr, "Echo.Wait", &Message{}, c.reply)
}

// manualDeadline is a context whose deadline passes when the test says so.
type manualDeadline struct {
	context.Context
	done chan struct{}
}

func (e manualDeadline) Deadline() (time.Time, bool) { return time.Now().Add(time.Hour), true }
func (e manualDeadline) Done() <-chan struct{}       { return e.done }
func (e manualDeadline) Err() error                  { return context.DeadlineExceeded }

// TestSilentConnection has a method that never answers: the call that times out
// closes the connection, so that the next one dials anew.
func TestSilentConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	config := testConfig(t)
	s := serve(t, config, "127.0.0.1:0")
	c := NewClient(config)
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{}, &Message{}))
	ctx := manualDeadline{context.Background(), make(chan struct{})}
	waiting := waitCall{c, s.addr, &Message{}, make(chan error, 1)}
	go waiting.run(ctx)
	<-s.echo.entered
	close(ctx.done)
	assert.Assert(t, IsAnswerLost(<-waiting.result))
	assert.Equal(t, c.Counters().Silent, uint64(1))
	assert.NilError(t, c.Call(context.Background(), s.addr, "Echo.Echo", &Message{}, &Message{}))
	assert.Equal(t, c.Counters().Handshakes, uint64(2))
	close(s.echo.release)
	assert.NilError(t, c.Close())
	s.stop(t)
}

func TestUnknownCallerIsRefused(t *testing.T) {
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

// memoryConn is a connection whose input is given and whose output is dropped.
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

func addSeeds(f *testing.F) {
	whole := frame(f, requestHeader{1, "Echo.Echo"}, Message{"hi"})
	f.Add(whole)
	f.Add(frame(f, requestHeader{2, "Echo.Echo"}, Message{"invalid"}))
	f.Add(frame(f, responseHeader{1, ""}, Message{"hi"}))
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x00})
	f.Add([]byte{0, 0, 0, 3, 0x9f, 0x9f, 0x9f})
	f.Add([]byte{0, 0, 0, 0})
}

func FuzzServer(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		server := rpc.NewServer()
		assert.NilError(t, server.RegisterName("Echo", &immediateEcho{}))
		var counted counters
		conn := memoryConn{in: bytes.NewReader(data)}
		server.ServeCodec(newServerCodec(newFramer(conn, &counted, newOptions(nil))))
	})
}

// immediateEcho has only methods that return at once.
type immediateEcho struct{}

// Echo returns its argument.
func (*immediateEcho) Echo(args, reply *Message) error {
	*reply = *args
	return nil
}

func FuzzClient(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var counted counters
		codec := &clientCodec{framer: newFramer(memoryConn{in: bytes.NewReader(data)}, &counted, newOptions(nil))}
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
