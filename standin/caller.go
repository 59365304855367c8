package standin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"dandelionhitch.example/service"
)

// Work is one request of a caller.
type Work struct {
	// Number tells requests apart; the whole answer depends on it.
	Number uint64
	// Method is the HTTP method; empty is POST.
	Method string
	// Path is one of the upstream's paths.
	Path string
	// Upload and Download are the octets of the request and of the answer.
	Upload, Download int64
	// Header is sent along.
	Header http.Header
}

// Answer is what a caller got.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Upstream names the upstream that answered.
	Upstream string
	// Header is the answer's header.
	Header http.Header
	// Duration is the time from the request to the end of the answer.
	Duration time.Duration
}

// Refused reports whether the answer is a refusal of the load balancer's.
func (a Answer) Refused() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// Caller is one caller with one flow: an HTTP/3 connection to a service.
type Caller struct {
	service   service.Name
	address   netip.AddrPort
	socket    *net.UDPConn
	transport *quic.Transport
	conn      *quic.Conn
	client    *http3.ClientConn
}

// Dial opens a caller's flow to the service at address.
func Dial(ctx context.Context, name service.Name, address netip.AddrPort, config *tls.Config) (*Caller, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, trace.Wrap(err, "dial %s", name)
	}
	c := &Caller{
		service:   name,
		address:   address,
		socket:    socket,
		transport: &quic.Transport{Conn: socket},
	}
	config = config.Clone()
	config.NextProtos = []string{http3.NextProtoH3}
	config.ServerName = string(name)
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), config, &quic.Config{
		MaxIdleTimeout:  30 * time.Second,
		KeepAlivePeriod: 10 * time.Second,
	})
	if err != nil {
		c.Close()
		return nil, trace.Wrap(err, "dial %s at %s", name, address)
	}
	c.conn = conn
	c.client = (&http3.Transport{}).NewClientConn(conn)
	return c, nil
}

// Do sends one request and checks that the answer is whole, its own, and from
// the caller's service. An answer with an error status is returned unchecked.
func (c *Caller) Do(ctx context.Context, work Work) (Answer, error) {
	start := time.Now()
	request, err := c.request(ctx, work)
	if err != nil {
		return Answer{}, err
	}
	response, err := c.client.RoundTrip(request)
	if err != nil {
		return Answer{}, trace.Wrap(err, "request %d to %s", work.Number, c.service)
	}
	defer response.Body.Close()
	answer := Answer{
		Status:   response.StatusCode,
		Upstream: response.Header.Get(HeaderUpstream),
		Header:   response.Header,
	}
	if response.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, response.Body)
		answer.Duration = time.Since(start)
		return answer, trace.Wrap(err)
	}
	if from := response.Header.Get(HeaderService); from != string(c.service) {
		return answer, &CrossedError{Want: c.service, Got: from}
	}
	if err := checkPattern(response.Body, work.Number, work.Download); err != nil {
		return answer, trace.Wrap(err)
	}
	answer.Duration = time.Since(start)
	return answer, nil
}

// Done is closed when the flow has ended.
func (c *Caller) Done() <-chan struct{} { return c.conn.Context().Done() }

// Err returns why the flow ended, or nil while it is open.
func (c *Caller) Err() error { return context.Cause(c.conn.Context()) }

// Close ends the flow.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "")
	}
	c.transport.Close()
	c.socket.Close()
}

func (c *Caller) request(ctx context.Context, work Work) (*http.Request, error) {
	method := work.Method
	if method == "" {
		method = http.MethodPost
	}
	url := fmt.Sprintf("https://%s%s", c.service, work.Path)
	request, err := http.NewRequestWithContext(ctx, method, url, pattern(work.Number, work.Upload))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.ContentLength = work.Upload
	for key, values := range work.Header {
		request.Header[key] = values
	}
	request.Header.Set(HeaderNumber, strconv.FormatUint(work.Number, 10))
	request.Header.Set(HeaderSize, strconv.FormatInt(work.Download, 10))
	return request, nil
}

// CrossedError says that an answer came from another service.
type CrossedError struct {
	Want service.Name
	Got  string
}

// Error describes the crossing.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("request to service %s was answered by service %q", e.Want, e.Got)
}

// IsReset reports whether err is a QUIC stateless reset.
func IsReset(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset)
}

// IsGoAway reports whether err says that the service has asked the caller to
// open another flow, and that the request was not sent.
func IsGoAway(err error) bool {
	var application *quic.ApplicationError
	if errors.As(err, &application) {
		return application.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
	}
	var h3 *http3.Error
	if errors.As(err, &h3) {
		// A request that crosses a GOAWAY is rejected: it was not processed
		// and may be sent again on another flow (RFC 9114, section 4.1.1).
		return h3.ErrorCode == http3.ErrCodeNoError || h3.ErrorCode == http3.ErrCodeRequestRejected
	}
	// The library has no exported error for a request that meets a GOAWAY.
	return err != nil && strings.Contains(err.Error(), "connection in graceful shutdown")
}

// IsRefused reports whether err says that the service refused a new flow.
func IsRefused(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode == quic.ConnectionRefused
}
