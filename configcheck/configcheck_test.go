package configcheck_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/configcheck"
	"dandelionhitch.example/directory"
)

const _roundTrip = 6 * time.Millisecond

// route returns a route that has no findings.
func route(name, address, service string) directory.WrittenRoute {
	return directory.WrittenRoute{
		Name: name, Service: service, Fields: map[string]string{"name": fmt.Sprintf("%q", name), "service": fmt.Sprintf("%q", service)},
		Route: directory.Route{
			Address: netip.MustParseAddrPort(address), Shares: []directory.Share{{Service: service, Weight: 1}},
			TargetLatency: 300 * time.Millisecond, Timeout: 3 * time.Second,
		},
	}
}

// config returns a configuration without findings, after edit has changed it.
func config(edit func(c *directory.Configuration)) directory.Configuration {
	c := directory.Configuration{
		Version: 4, IdleTimeout: 15 * time.Second,
		Routes:   []directory.WrittenRoute{route("a", "198.18.0.1:443", "orders"), route("b", "198.18.0.2:443", "photos")},
		Services: []directory.WrittenService{{Name: "orders"}, {Name: "photos"}},
	}
	edit(&c)
	return c
}

// TestCheck changes one thing at a time in a configuration without findings. The place and the
// kind of each finding must follow.
func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name string
		edit func(c *directory.Configuration)
		want []string
	}{
		{"none", func(*directory.Configuration) {}, nil},
		{"zero limits are not set", func(c *directory.Configuration) {
			c.IdleTimeout, c.Routes[0].Route.TargetLatency, c.Routes[1].Route.Timeout = 0, 0, 0
		}, nil},
		{"invalid route", func(c *directory.Configuration) { c.Routes[1].Err = errors.New("odd") }, []string{
			`route 1 "b" invalid`, `service 1 "photos" unused_service`,
		}},
		{"duplicate address", func(c *directory.Configuration) { c.Routes[1].Route.Address = c.Routes[0].Route.Address }, []string{
			`route 1 "b" never_matches`, `service 1 "photos" unused_service`,
		}},
		{"an invalid route does not hide the next", func(c *directory.Configuration) {
			c.Routes = append([]directory.WrittenRoute{{Err: errors.New("odd"), Route: c.Routes[0].Route}}, c.Routes...)
		}, []string{`route 0 "" invalid`}},
		{"address that no caller can use", func(c *directory.Configuration) {
			c.Routes[0].Route.Address = netip.MustParseAddrPort("198.18.0.1:0")
			c.Routes[1].Route.Address = netip.MustParseAddrPort("224.0.0.1:443")
		}, []string{`route 0 "a" never_matches`, `route 1 "b" never_matches`}},
		{"timeout below target", func(c *directory.Configuration) { c.Routes[0].Route.Timeout = 299 * time.Millisecond }, []string{`route 0 "a" contradiction`}},
		{"target below round trip", func(c *directory.Configuration) { c.Routes[0].Route.TargetLatency = 5 * time.Millisecond }, []string{`route 0 "a" contradiction`}},
		{"idle timeout below timeout", func(c *directory.Configuration) { c.Routes[1].Route.Timeout = 16 * time.Second }, []string{`route 1 "b" contradiction`}},
		{"priority", func(c *directory.Configuration) { c.Routes[0].Route.Priority, c.Routes[1].Route.Priority = 7, 8 }, []string{`route 1 "b" contradiction`}},
		{"zero weights", func(c *directory.Configuration) {
			c.Routes[0].Split = []directory.Share{{Service: "x"}, {Service: "y"}}
		}, []string{`route 0 "a" contradiction`}},
		{"one zero weight", func(c *directory.Configuration) {
			c.Routes[0].Split = []directory.Share{{Service: "orders", Weight: 1}, {Service: "mail"}}
			c.Services = append(c.Services, directory.WrittenService{Name: "mail"})
		}, nil},
		{"services", func(c *directory.Configuration) {
			c.Services = append(c.Services, directory.WrittenService{Name: "orders"}, directory.WrittenService{Err: errors.New("odd")}, directory.WrittenService{Name: "mail"})
		}, []string{`service 0 "orders" invalid`, `service 3 "" invalid`, `service 4 "mail" unused_service`}},
		{"ignored values", func(c *directory.Configuration) {
			c.Warnings, c.Routes[0].Warnings = []error{errors.New("odd")}, []error{errors.New("odd")}
		}, []string{"limits ignored_value", `route 0 "a" ignored_value`}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, f := range configcheck.Check(config(tt.edit), _roundTrip) {
				got = append(got, fmt.Sprintf("%s %s", f.Place, f.Kind))
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestCompare checks that routes are compared by address, so that their order and a name do not
// hide a change.
func TestCompare(t *testing.T) {
	inForce := config(func(c *directory.Configuration) {
		c.Routes = append(c.Routes, route("a", "198.18.0.1:443", "shadowed"))
	})
	next := config(func(c *directory.Configuration) {
		c.Routes = []directory.WrittenRoute{route("c", "198.18.0.3:443", "orders"), route("a", "198.18.0.1:443", "photos")}
		c.IdleTimeout, c.Services = 10*time.Second, c.Services[:1]
	})
	assert.DeepEqual(t, configcheck.Compare(inForce, next), []configcheck.Change{
		{Action: configcheck.Changed, Place: "limits", Fields: []configcheck.FieldChange{{Field: "idleTimeoutMs", From: "15000", To: "10000"}}},
		{Action: configcheck.Changed, Place: `route 1 "a" at 198.18.0.1:443`, Fields: []configcheck.FieldChange{{Field: "service", From: `"orders"`, To: `"photos"`}}},
		{Action: configcheck.Removed, Place: `route 1 "b" at 198.18.0.2:443`},
		{Action: configcheck.Added, Place: `route 0 "c" at 198.18.0.3:443`},
		{Action: configcheck.Removed, Place: `service 1 "photos"`},
	})
	assert.Equal(t, len(configcheck.CheckVersion(inForce, next)), 1)
	next.Version++
	assert.Equal(t, len(configcheck.CheckVersion(inForce, next)), 0)
}

// TestOddValues guards against a panic on odd values, and against differences of a
// configuration from itself.
func TestOddValues(t *testing.T) {
	share := rapid.Custom(func(t *rapid.T) directory.Share {
		return directory.Share{Service: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "service"), Weight: rapid.Uint64().Draw(t, "weight")}
	})
	written := rapid.Custom(func(t *rapid.T) directory.WrittenRoute {
		r := directory.WrittenRoute{Name: rapid.String().Draw(t, "name"), Split: rapid.SliceOfN(share, 0, 3).Draw(t, "split")}
		r.Fields = rapid.MapOf(rapid.String(), rapid.String()).Draw(t, "fields")
		r.Route.Shares = rapid.SliceOfN(share, 0, 3).Draw(t, "shares")
		r.Route.Priority = rapid.Int().Draw(t, "priority")
		r.Route.Timeout = time.Duration(rapid.Int64().Draw(t, "timeout"))
		r.Route.TargetLatency = time.Duration(rapid.Int64().Draw(t, "target"))
		if rapid.Bool().Draw(t, "addressed") {
			r.Route.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, rapid.Byte().Draw(t, "host")}), 443)
		}
		if rapid.Bool().Draw(t, "invalid") {
			r.Err = errors.New("odd")
		}
		return r
	})
	service := rapid.Custom(func(t *rapid.T) directory.WrittenService {
		return directory.WrittenService{Name: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "service")}
	})
	rapid.Check(t, func(t *rapid.T) {
		c := directory.Configuration{
			Version: rapid.Uint64().Draw(t, "version"), IdleTimeout: time.Duration(rapid.Int64().Draw(t, "idle")),
			Routes: rapid.SliceOf(written).Draw(t, "routes"), Services: rapid.SliceOf(service).Draw(t, "services"),
		}
		for _, f := range configcheck.Check(c, _roundTrip) {
			if f.Place == "" || f.Kind == "" || f.Text == "" {
				t.Fatalf("finding %+v has no place, kind or text", f)
			}
		}
		if changes := configcheck.Compare(c, c); len(changes) > 0 {
			t.Fatalf("changes from itself: %+v", changes)
		}
		configcheck.Compare(c, directory.Configuration{})
	})
}

// BenchmarkCheck checks and compares a configuration with 1,000 routes.
func BenchmarkCheck(b *testing.B) {
	c := directory.Configuration{Version: 1}
	for i := range 1000 {
		c.Routes = append(c.Routes, route("r", fmt.Sprintf("198.18.%d.%d:443", i>>8, i&255), "orders"))
	}
	for b.Loop() {
		configcheck.Check(c, _roundTrip)
		configcheck.Compare(c, c)
	}
}
