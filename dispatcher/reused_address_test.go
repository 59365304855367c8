package dispatcher_test

import (
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
)

// TestNothingRunsAtAgentOfAnotherServiceAtSameAddress guards against requests that an agent
// hands over, or passes on by their ticket, to an address at which an agent of another
// service has taken the place of the addressee.
func TestNothingRunsAtAgentOfAnotherServiceAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := func(*http.Request) (*http.Response, error) {
			t.Error("a request ran at the upstream of another service")
			return nil, errConnLost
		}
		newAgent := func(identity dispatcher.Identity, opts ...dispatcher.Option) *dispatcher.Dispatcher {
			opts = append(opts, dispatcher.WithTicketKeys(_ticketKeys), dispatcher.WithIdentity(identity),
				dispatcher.WithTransport(transportFunc(run)))
			d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, testPolicy, opts...)
			assert.NilError(t, err)
			t.Cleanup(func() { assert.Check(t, d.Close()) })
			return d
		}
		peer := selfAddr()
		// The other service's agent has the incarnation of the addressee, as two agents whose
		// clocks differ may have.
		old := newAgent(dispatcher.Identity{Service: 7, Address: peer, Incarnation: 1})
		key := sendRequest(old, http.MethodPost, "/once", "").Header.Get(dispatcher.HeaderIdempotencyKey)
		assert.Assert(t, key != "")
		other := newAgent(dispatcher.Identity{Service: 8, Address: peer, Incarnation: 1})
		deliver := func(r *http.Request) (*http.Response, error) {
			return (&agentProcess{c: newCluster(1, 0, 0), d: other, ctx: t.Context()}).deliver(r, other.PeerHandler())
		}
		sender := newAgent(dispatcher.Identity{Service: 7, Address: netip.MustParseAddrPort("10.0.0.2:7443"), Incarnation: 1},
			dispatcher.WithPeers(onePeer{peer}, transportFunc(deliver)))
		sender.StartDrain()
		assert.Equal(t, outcome(sendRequest(sender, http.MethodPost, "/plain", "")), dispatcher.OutcomeNotRun)
		answer := sendRequest(sender, http.MethodPost, "/once", "", dispatcher.HeaderIdempotencyKey, key)
		assert.Equal(t, outcome(answer), dispatcher.OutcomeUnknown)
	})
}
