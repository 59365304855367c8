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

// Request describes one HTTP request of a Caller.
type Request struct {
	// Number identifies the request. The body of the answer is generated from it.
	Number uint64
	// Method is the HTTP method. The default is POST.
	Method string
	// Path is one of PathShort, PathLong and PathOrder.
	Path string
	// Upload and Download are the sizes of the request and answer bodies, in bytes.
	Upload, Download int64
	// Header holds additional header fields of the request.
	Header http.Header
}

// Answer is the response to a Request.
type Answer struct {
	Status int
	// Upstream is the label of the upstream that answered.
	Upstream string
	Header   http.Header
	// Duration is the time from the start of the request to the end of the answer.
	Duration time.Duration
}

// Refused reports whether the load balancer refused the request.
func (a Answer) Refused() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// Caller is a caller with a single flow, which is an HTTP/3 connection to a service.
type Caller struct {
	service   service.Name
	address   netip.AddrPort
	socket    *net.UDPConn
	transport *quic.Transport
	conn      *quic.Conn
	client    *http3.ClientConn
}

// Dial opens a flow to the service at address.
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

// Do sends one request. It returns an error if the answer is truncated, belongs to another
// request, or comes from a service other than the caller's. An answer whose status is not
// 200 is returned unchecked.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	start := time.Now()
	request, err := c.httpRequest(ctx, r)
	if err != nil {
		return Answer{}, err
	}
	response, err := c.client.RoundTrip(request)
	if err != nil {
		return Answer{}, trace.Wrap(err, "request %d to %s", r.Number, c.service)
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
		return answer, &WrongServiceError{Want: c.service, Got: from}
	}
	if err := checkPattern(response.Body, r.Number, r.Download); err != nil {
		return answer, trace.Wrap(err)
	}
	answer.Duration = time.Since(start)
	return answer, nil
}

// Done returns a channel that is closed when the flow has ended.
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

func (c *Caller) httpRequest(ctx context.Context, r Request) (*http.Request, error) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	url := fmt.Sprintf("https://%s%s", c.service, r.Path)
	request, err := http.NewRequestWithContext(ctx, method, url, pattern(r.Number, r.Upload))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.ContentLength = r.Upload
	for key, values := range r.Header {
		request.Header[key] = values
	}
	request.Header.Set(HeaderNumber, strconv.FormatUint(r.Number, 10))
	request.Header.Set(HeaderSize, strconv.FormatInt(r.Download, 10))
	return request, nil
}

// WrongServiceError reports that a service other than the requested one answered.
type WrongServiceError struct {
	Want service.Name
	Got  string
}

// Error implements error.
func (e *WrongServiceError) Error() string {
	return fmt.Sprintf("request to service %s was answered by service %q", e.Want, e.Got)
}

// IsReset reports whether err is a QUIC stateless reset.
func IsReset(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset)
}

// IsGoAway reports whether err means that the service has asked the caller to open
// another flow and that the request was not processed.
func IsGoAway(err error) bool {
	var application *quic.ApplicationError
	if errors.As(err, &application) {
		return application.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
	}
	var h3 *http3.Error
	if errors.As(err, &h3) {
		// A request that arrives after the server has sent GOAWAY is rejected
		// unprocessed and may be retried on another flow (RFC 9114, section 4.1.1).
		return h3.ErrorCode == http3.ErrCodeNoError || h3.ErrorCode == http3.ErrCodeRequestRejected
	}
	// quic-go exports no error for a request on a connection that has received GOAWAY.
	return err != nil && strings.Contains(err.Error(), "connection in graceful shutdown")
}

// IsRefused reports whether err means that the service refused a new flow.
func IsRefused(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode == quic.ConnectionRefused
}
