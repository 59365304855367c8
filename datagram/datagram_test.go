package datagram_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/datagram"
)

// _waitTimeout is how long the tests wait for a datagram or a callback.
const _waitTimeout = 5 * time.Second

func TestSendAndReceive(t *testing.T) {
	taken := make(chan string, 1)
	sources := make(chan netip.AddrPort, 1)
	receiver, err := datagram.Listen(netip.MustParseAddrPort("127.0.6.1:0"), nil,
		datagram.WithSourceHandler(func(from netip.AddrPort, b []byte) {
			sources <- from
			taken <- string(b)
		}))
	assert.NilError(t, err)
	defer receiver.Close()
	sender, err := datagram.Listen(netip.MustParseAddrPort("127.0.6.2:0"), func([]byte) {})
	assert.NilError(t, err)
	defer sender.Close()
	sender.Send(receiver.Local(), []byte("hello"))
	select {
	case from := <-sources:
		assert.Equal(t, from, sender.Local())
		assert.Equal(t, <-taken, "hello")
	case <-time.After(_waitTimeout):
		t.Fatal("no datagram received")
	}
	assert.Equal(t, sender.Unsent(), uint64(0))
}

// TestConnectionRefused writes to a port at which no process listens. The function set by
// WithRefusedHandler must be called.
func TestConnectionRefused(t *testing.T) {
	gone, err := datagram.Listen(netip.MustParseAddrPort("127.0.6.3:0"), func([]byte) {})
	assert.NilError(t, err)
	addr := gone.Local()
	assert.NilError(t, gone.Close())
	refused := make(chan struct{}, 100)
	s, err := datagram.Dial(netip.MustParseAddr("127.0.6.4"), addr, func([]byte) {}, datagram.WithRefusedHandler(func() {
		select {
		case refused <- struct{}{}:
		default:
		}
	}))
	assert.NilError(t, err)
	defer s.Close()
	s.Write([]byte("x"))
	select {
	case <-refused:
	case <-time.After(_waitTimeout):
		t.Fatal("the function set by WithRefused was not called")
	}
}

func TestAddressInUse(t *testing.T) {
	first, err := datagram.Listen(netip.MustParseAddrPort("127.0.6.5:0"), func([]byte) {})
	assert.NilError(t, err)
	defer first.Close()
	_, err = datagram.Listen(first.Local(), func([]byte) {})
	assert.ErrorContains(t, err, "listen for datagrams at 127.0.6.5")
}

// TestPanicDropsOneDatagram checks that a socket keeps reading after its handler panicked,
// and reports the panic's cause.
func TestPanicDropsOneDatagram(t *testing.T) {
	taken, causes := make(chan string, 10), make(chan any, 10)
	s, err := datagram.Listen(netip.MustParseAddrPort("127.0.6.6:0"), func(b []byte) {
		if string(b) == "bad" {
			panic("not foreseen")
		}
		taken <- string(b)
	}, datagram.WithPanicHandler(func(cause any) { causes <- cause }))
	assert.NilError(t, err)
	defer s.Close()
	s.Send(s.Local(), []byte("bad"))
	s.Send(s.Local(), []byte("good"))
	select {
	case got := <-taken:
		assert.Equal(t, got, "good")
	case <-time.After(_waitTimeout):
		t.Fatal("no datagram received")
	}
	assert.Equal(t, <-causes, "not foreseen")
}
