package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// Server accepts connections and runs the called methods.
type Server struct {
	config   *tls.Config
	options  options
	rpc      *rpc.Server
	counters counters
	tomb     tomb.Tomb

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*serverConn]struct{}
	// serving counts the running Serve calls.
	serving sync.WaitGroup
}

// NewServer returns a server that accepts only clients with a certificate signed
// by the configuration's ClientCAs.
func NewServer(config *tls.Config, opts ...Option) *Server {
	config = config.Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.MinVersion = tls.VersionTLS13
	s := &Server{
		config:    config,
		options:   newOptions(opts),
		rpc:       rpc.NewServer(),
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[*serverConn]struct{}),
	}
	s.counters.observe(s.options.meter, "dandelionhitch.control.server")
	s.tomb.Go(s.run)
	return s
}

// Register registers the receiver's methods under the name, by the rules of
// rpc.Server.RegisterName.
func (s *Server) Register(name string, receiver any) error {
	return trace.Wrap(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections until the listener fails or Close is called. It closes
// the listener on Close and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		listener.Close()
		return nil
	}
	defer s.serving.Done()
	for {
		conn, err := listener.Accept()
		if err == nil {
			s.startConn(conn)
			continue
		}
		if !s.tomb.Alive() {
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) && temporary.Timeout() {
			continue
		}
		return trace.Wrap(err, "accept a control connection")
	}
}

// Counters returns a snapshot of the server's counters.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

// Close closes the listeners and connections and waits until their goroutines have
// ended.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	s.serving.Wait()
	return trace.Wrap(err, "close control server")
}

// run waits for Close, then closes all listeners and connections.
func (s *Server) run() error {
	<-s.tomb.Dying()
	s.mu.Lock()
	defer s.mu.Unlock()
	for listener := range s.listeners {
		listener.Close()
	}
	for conn := range s.conns {
		conn.raw.Close()
	}
	return nil
}

// addListener records a listener for Close. It returns false if the server is
// closed.
func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	s.serving.Add(1)
	return true
}

// startConn starts serving an accepted connection. It closes the connection
// instead if the server is closed or has _maxConnections already.
func (s *Server) startConn(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= _maxConnections {
		s.counters.refused.Add(1)
		raw.Close()
		return
	}
	conn := &serverConn{server: s, raw: &countedConn{Conn: raw, counters: &s.counters}}
	s.conns[conn] = struct{}{}
	s.tomb.Go(conn.run)
}

func (s *Server) removeConn(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	raw    net.Conn
}

// run performs the handshake and serves calls until the connection ends. It always
// returns nil, since an error would stop the whole server.
func (c *serverConn) run() error {
	s := c.server
	defer s.removeConn(c)
	defer c.raw.Close()
	conn := tls.Server(c.raw, s.config)
	ctx, cancel := context.WithTimeout(context.Background(), s.options.timeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	if err != nil {
		s.counters.refused.Add(1)
		return nil
	}
	s.counters.handshakes.Add(1)
	if conn.ConnectionState().DidResume {
		s.counters.resumed.Add(1)
	}
	s.rpc.ServeCodec(newServerCodec(newFramer(conn, &s.counters, s.options)))
	return nil
}
