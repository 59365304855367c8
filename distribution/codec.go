package distribution

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"dandelionhitch.example/directory"
)

const (
	// _addressSize is the size of an encoded address in bytes: an IPv4 address and a port.
	_addressSize = 6
	// _maxEncodedSize is the maximum size of an encoded table in bytes. It keeps a corrupt
	// payload from decompressing without limit. The store accepts configurations of at most 1 MB,
	// in a format that takes far more bytes for the same table.
	_maxEncodedSize = 4 << 20
	// _maxRouteTime is the maximum target latency, timeout and idle timeout. The decoder of
	// the store's format has the same limit.
	_maxRouteTime = 24 * time.Hour
)

// format is the first byte of a payload and tells how the rest is to be decoded. Its
// values are part of the wire format and must not change.
type format uint8

const (
	// _formatTable is followed by a compressed encodedTable, _formatDelta by a compressed
	// encodedDelta.
	_formatTable format = 1 + iota
	_formatDelta
	// _formatColdTable and _formatColdDelta are followed by a compressed encodedColdTable or
	// encodedColdDelta. They are used only for tables that state the rates of cold
	// upstreams, so that processes of earlier versions can read all others.
	_formatColdTable
	_formatColdDelta
)

// encodedTable is the encoding of a table on the wire. The encoding is deterministic:
// processes that have the same version get the same bytes, so comparing checksums shows
// whether their tables are equal.
type encodedTable struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	IdleTimeout time.Duration
	Routes      encodedRoutes
}

// encodedColdTable is an encodedTable with the rates of cold upstreams.
type encodedColdTable struct {
	_     struct{} `cbor:",toarray"`
	Table encodedTable
	Cold  []encodedCold
}

// encodedColdDelta is an encodedDelta with the rates of cold upstreams in the later
// version, of which there are few.
type encodedColdDelta struct {
	_     struct{} `cbor:",toarray"`
	Delta encodedDelta
	Cold  []encodedCold
}

// encodedCold is the behaviour of the cold upstreams of a service.
type encodedCold struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	For       time.Duration
	PerSecond float64
}

// encodeCold encodes the rates of cold upstreams, in the order of their services.
func encodeCold(table directory.Table) []encodedCold {
	var out []encodedCold
	for _, service := range table.ColdServices() {
		c, _ := table.Cold(service)
		out = append(out, encodedCold{Service: service, For: c.For, PerSecond: c.PerSecond})
	}
	return out
}

// decodeCold decodes the rates of cold upstreams.
func decodeCold(encoded []encodedCold) (map[string]directory.Cold, error) {
	cold := make(map[string]directory.Cold, len(encoded))
	for _, e := range encoded {
		if e.Service == "" || e.For < 0 || e.For > _maxRouteTime || !(e.PerSecond > 0 && e.PerSecond <= math.MaxInt32) {
			return nil, trace.BadParameter("service %q is cold for %v and bears %v requests a second: name is empty or value out of range",
				e.Service, e.For, e.PerSecond)
		}
		cold[e.Service] = directory.Cold{For: e.For, PerSecond: e.PerSecond}
	}
	return cold, nil
}

// encodedRoutes is a list of routes in address order. Most routes of a configuration
// differ only in the address, so everything else is stored once, in a template.
type encodedRoutes struct {
	_ struct{} `cbor:",toarray"`
	// Templates are the distinct templates of the routes, in the order of their first use.
	Templates []encodedTemplate
	// Addresses holds the addresses of the routes in ascending order, _addressSize bytes each.
	Addresses []byte
	// TemplateIndexes holds, for each route, the index of its template in Templates.
	TemplateIndexes []uint32
}

// encodedTemplate is a route without its address.
type encodedTemplate struct {
	_        struct{} `cbor:",toarray"`
	Target   time.Duration
	Timeout  time.Duration
	Priority int
	Shares   []encodedShare
}

// encodedShare is the weight of one of the services of a route.
type encodedShare struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  uint64
}

// encodedDelta is the change from one version of the table, the base, to a later one.
type encodedDelta struct {
	_             struct{} `cbor:",toarray"`
	Base, Version uint64
	// BaseSum and Sum are the checksums of the encoded tables of the two versions.
	BaseSum, Sum uint64
	IdleTimeout  time.Duration
	// Removed holds the addresses that no longer have a route, encoded like
	// encodedRoutes.Addresses.
	Removed []byte
	// Set holds the routes that are new or changed.
	Set encodedRoutes
}

// snapshot is one version of the configuration with its encoding and the encoding's
// checksum.
type snapshot struct {
	table   directory.Table
	encoded []byte
	sum     uint64
}

func newSnapshot(table directory.Table) (snapshot, error) {
	plain := encodedTable{Version: table.Version(), IdleTimeout: table.IdleTimeout(), Routes: encodeRoutes(table.Routes())}
	var message any = plain
	if cold := encodeCold(table); len(cold) > 0 {
		message = encodedColdTable{Table: plain, Cold: cold}
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return snapshot{}, trace.Wrap(err, "encode configuration %d", table.Version())
	}
	return snapshot{table: table, encoded: encoded, sum: xxhash.Sum64(encoded)}, nil
}

// encodeRoutes encodes routes, which must be in address order.
func encodeRoutes(routes []directory.Route) encodedRoutes {
	e := encodedRoutes{
		Templates:       []encodedTemplate{},
		Addresses:       make([]byte, 0, _addressSize*len(routes)),
		TemplateIndexes: make([]uint32, 0, len(routes)),
	}
	templateIndexes := make(map[string]uint32)
	for _, r := range routes {
		key := templateKey(r)
		index, known := templateIndexes[key]
		if !known {
			index = uint32(len(e.Templates))
			templateIndexes[key] = index
			e.Templates = append(e.Templates, encodeTemplate(r))
		}
		e.TemplateIndexes = append(e.TemplateIndexes, index)
		e.Addresses = appendAddress(e.Addresses, r.Address)
	}
	return e
}

// templateKey returns a map key that is equal for routes that differ only in the address.
func templateKey(r directory.Route) string {
	b := binary.AppendVarint(nil, int64(r.TargetLatency))
	b = binary.AppendVarint(b, int64(r.Timeout))
	b = binary.AppendVarint(b, int64(r.Priority))
	for _, s := range r.Shares {
		b = binary.AppendUvarint(b, uint64(len(s.Service)))
		b = append(b, s.Service...)
		b = binary.AppendUvarint(b, s.Weight)
	}
	return string(b)
}

func encodeTemplate(r directory.Route) encodedTemplate {
	template := encodedTemplate{Target: r.TargetLatency, Timeout: r.Timeout, Priority: r.Priority}
	for _, s := range r.Shares {
		template.Shares = append(template.Shares, encodedShare{Service: s.Service, Weight: s.Weight})
	}
	return template
}

func appendAddress(b []byte, address netip.AddrPort) []byte {
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), address.Port())
}

// decodeAddresses decodes a list of addresses. It fails unless they are in ascending order.
func decodeAddresses(b []byte) ([]netip.AddrPort, error) {
	if len(b)%_addressSize != 0 {
		return nil, trace.BadParameter("addresses: %d bytes are not a multiple of %d", len(b), _addressSize)
	}
	addresses := make([]netip.AddrPort, 0, len(b)/_addressSize)
	for offset := 0; offset < len(b); offset += _addressSize {
		if offset > 0 && bytes.Compare(b[offset-_addressSize:offset], b[offset:offset+_addressSize]) >= 0 {
			return nil, trace.BadParameter("address %d is out of order", offset/_addressSize)
		}
		ip := netip.AddrFrom4([4]byte(b[offset : offset+4]))
		addresses = append(addresses, netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[offset+4:])))
	}
	return addresses, nil
}

// decode returns the routes in address order.
func (e encodedRoutes) decode() ([]directory.Route, error) {
	addresses, err := decodeAddresses(e.Addresses)
	if err != nil {
		return nil, err
	}
	if len(e.TemplateIndexes) != len(addresses) {
		return nil, trace.BadParameter("%d addresses, but %d template indexes", len(addresses), len(e.TemplateIndexes))
	}
	templates := make([]directory.Route, len(e.Templates))
	for i, t := range e.Templates {
		if templates[i], err = t.decode(); err != nil {
			return nil, trace.Wrap(err, "template %d", i)
		}
	}
	routes := make([]directory.Route, len(addresses))
	for i, address := range addresses {
		if int(e.TemplateIndexes[i]) >= len(templates) {
			return nil, trace.BadParameter("route %d: template index %d, but there are %d templates",
				i, e.TemplateIndexes[i], len(templates))
		}
		routes[i] = templates[e.TemplateIndexes[i]]
		routes[i].Address = address
	}
	return routes, nil
}

func (t encodedTemplate) decode() (directory.Route, error) {
	if min(t.Target, t.Timeout) < 0 || max(t.Target, t.Timeout) > _maxRouteTime {
		return directory.Route{}, trace.BadParameter("target latency %v or timeout %v is not between 0 and %v",
			t.Target, t.Timeout, _maxRouteTime)
	}
	route := directory.Route{TargetLatency: t.Target, Timeout: t.Timeout, Priority: t.Priority}
	for _, share := range t.Shares {
		if share.Service == "" || share.Weight == 0 || share.Weight > directory.MaxWeight {
			return directory.Route{}, trace.BadParameter("service %q with weight %d: name is empty or weight is out of range", share.Service, share.Weight)
		}
		route.Shares = append(route.Shares, directory.Share{Service: share.Service, Weight: share.Weight})
	}
	if len(route.Shares) == 0 {
		return directory.Route{}, trace.BadParameter("route has no service with a weight above zero")
	}
	return route, nil
}

// newDelta returns the change from one version to a later one.
func newDelta(from, to snapshot) encodedDelta {
	d := encodedDelta{
		Base: from.table.Version(), Version: to.table.Version(), BaseSum: from.sum, Sum: to.sum,
		IdleTimeout: to.table.IdleTimeout(),
	}
	var set []directory.Route
	for _, r := range to.table.Routes() {
		if old, ok := from.table.Route(r.Address); !ok || templateKey(old) != templateKey(r) {
			set = append(set, r)
		}
	}
	for _, r := range from.table.Routes() {
		if _, ok := to.table.Route(r.Address); !ok {
			d.Removed = appendAddress(d.Removed, r.Address)
		}
	}
	d.Set = encodeRoutes(set)
	return d
}

// apply returns the version that results from applying the delta to the snapshot from, with
// the given rates of cold upstreams. It fails if that snapshot is not the delta's base or
// the result does not have the expected checksum.
func (d encodedDelta) apply(from snapshot, cold []encodedCold) (snapshot, error) {
	s, err := d.applyTo(from, cold)
	return s, trace.Wrap(err, "configuration: change from %d to %d", d.Base, d.Version)
}

func (d encodedDelta) applyTo(from snapshot, encoded []encodedCold) (snapshot, error) {
	if d.Base != from.table.Version() || d.BaseSum != from.sum {
		return snapshot{}, trace.BadParameter("base is configuration %d (sum %x), but configuration %d (sum %x) is in force",
			d.Base, d.BaseSum, from.table.Version(), from.sum)
	}
	removed, err := decodeAddresses(d.Removed)
	if err != nil {
		return snapshot{}, trace.Wrap(err, "removed routes")
	}
	set, err := d.Set.decode()
	if err != nil {
		return snapshot{}, trace.Wrap(err, "changed routes")
	}
	// directory.New uses the first of several routes for the same address, so the routes of
	// the delta replace those of the base.
	routes := set
	for _, r := range from.table.Routes() {
		if _, found := slices.BinarySearchFunc(removed, r.Address, netip.AddrPort.Compare); !found {
			routes = append(routes, r)
		}
	}
	cold, err := decodeCold(encoded)
	if err != nil {
		return snapshot{}, err
	}
	to, err := newSnapshot(directory.New(d.Version, d.IdleTimeout, routes).WithCold(cold))
	if err != nil {
		return snapshot{}, err
	}
	if to.sum != d.Sum {
		return snapshot{}, trace.BadParameter("result has sum %x, want %x", to.sum, d.Sum)
	}
	return to, nil
}

// pack returns a payload: the format byte and the compressed message.
func pack(f format, message []byte) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(byte(f))
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(message); err != nil {
		return nil, trace.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

// packTable returns a payload that holds the whole table.
func (s snapshot) packTable() ([]byte, error) { return pack(s.tableFormat(), s.encoded) }

// tableFormat returns the format of the encoded table.
func (s snapshot) tableFormat() format {
	if len(s.table.ColdServices()) > 0 {
		return _formatColdTable
	}
	return _formatTable
}

// packDelta returns a payload that holds the change from one version to another.
func packDelta(from, to snapshot) ([]byte, error) {
	delta := newDelta(from, to)
	f, change := _formatDelta, any(delta)
	if cold := encodeCold(to.table); len(cold) > 0 {
		f, change = _formatColdDelta, encodedColdDelta{Delta: delta, Cold: cold}
	}
	message, err := cbor.Marshal(change)
	if err != nil {
		return nil, trace.Wrap(err, "encode change from configuration %d to %d", from.table.Version(), to.table.Version())
	}
	return pack(f, message)
}

// unpack returns the version that a payload holds. The from argument is the version in force,
// to which a payload with a delta is applied.
func unpack(payload []byte, from snapshot) (snapshot, error) {
	if len(payload) == 0 {
		return snapshot{}, trace.BadParameter("configuration: empty payload")
	}
	message, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(payload[1:])), _maxEncodedSize+1))
	if err != nil {
		return snapshot{}, trace.BadParameter("configuration: decompress payload of %d bytes: %v", len(payload), err)
	}
	if len(message) > _maxEncodedSize {
		return snapshot{}, trace.LimitExceeded("configuration: payload decompresses to more than %d bytes", _maxEncodedSize)
	}
	switch f := format(payload[0]); f {
	case _formatTable, _formatColdTable:
		return decodeTable(f, message)
	case _formatDelta:
		var d encodedDelta
		if err := cbor.Unmarshal(message, &d); err != nil {
			return snapshot{}, trace.BadParameter("configuration: decode change: %v", err)
		}
		return d.apply(from, nil)
	case _formatColdDelta:
		var d encodedColdDelta
		if err := cbor.Unmarshal(message, &d); err != nil {
			return snapshot{}, trace.BadParameter("configuration: decode change: %v", err)
		}
		return d.Delta.apply(from, d.Cold)
	default:
		return snapshot{}, trace.BadParameter("configuration: unknown payload format %d", payload[0])
	}
}

func decodeTable(f format, message []byte) (snapshot, error) {
	var withCold encodedColdTable
	target := any(&withCold.Table)
	if f == _formatColdTable {
		target = &withCold
	}
	if err := cbor.Unmarshal(message, target); err != nil {
		return snapshot{}, trace.BadParameter("configuration: decode table: %v", err)
	}
	e := withCold.Table
	if e.Version == 0 || e.IdleTimeout < 0 || e.IdleTimeout > _maxRouteTime {
		return snapshot{}, trace.BadParameter("configuration %d: version is zero or idle timeout %v is out of range", e.Version, e.IdleTimeout)
	}
	routes, err := e.Routes.decode()
	if err != nil {
		return snapshot{}, trace.Wrap(err, "configuration %d", e.Version)
	}
	cold, err := decodeCold(withCold.Cold)
	if err != nil {
		return snapshot{}, trace.Wrap(err, "configuration %d", e.Version)
	}
	table := directory.New(e.Version, e.IdleTimeout, routes).WithCold(cold)
	return snapshot{table: table, encoded: message, sum: xxhash.Sum64(message)}, nil
}
