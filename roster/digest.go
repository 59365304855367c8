package roster

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

const (
	// _groups is the number of groups, and _buckets the number of buckets.
	_groups          = 16
	_bucketsPerGroup = 16
	_buckets         = _groups * _bucketsPerGroup
	// _memberBuckets is the number of buckets for members. These are the first buckets
	// and hold no upstreams: members change with every settings revision, and the
	// buckets of upstreams should not differ because of that.
	_memberBuckets = 2 * _bucketsPerGroup
	// _hashSize is the size of the hash of a group or bucket in octets.
	_hashSize = 8
	// _addrSize is the size of an address and port in a summary in octets.
	_addrSize = 6
	// _halfHashSize is the size of the low half of an entry's hash in octets.
	_halfHashSize = _hashSize / 2
	// _summarySize is the size of one entry in a summary in octets: its address and the
	// low half of its hash.
	_summarySize = _addrSize + _halfHashSize
	// GroupsSize is the size of the hashes of all groups in octets.
	GroupsSize = _groups * _hashSize
)

// bucket is the set of entries whose keys hash to it. Its hash is the XOR of the hashes
// of those of its entries that the digests include.
type bucket struct {
	hash    uint64
	entries []*entry
}

// BucketHash is the hash of one bucket.
type BucketHash struct {
	Bucket uint8  `cbor:"1,keyasint"`
	Hash   uint64 `cbor:"2,keyasint"`
}

// Summary lists the entries of one bucket. Each entry takes ten octets: six for the
// address and port, four for the low half of the entry's hash.
type Summary struct {
	Bucket  uint8  `cbor:"1,keyasint"`
	Entries []byte `cbor:"2,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the entries have the right total size.
func (s Summary) Validate() error {
	if len(s.Entries)%_summarySize != 0 {
		return trace.BadParameter("summary of bucket %d: %d octets, want a multiple of %d",
			s.Bucket, len(s.Entries), _summarySize)
	}
	return nil
}

// bucket returns the index of the bucket for the key.
func (k Key) bucket() int {
	h := mix(xxhash.Sum64(appendAddr(make([]byte, 0, _addrSize), k.Addr)))
	if k.Kind == KindMember {
		return int(h % _memberBuckets)
	}
	return int(_memberBuckets + h%(_buckets-_memberBuckets))
}

// bucketKind returns the kind of the entries in a bucket.
func bucketKind(bucket uint8) Kind {
	if bucket < _memberBuckets {
		return KindMember
	}
	return KindUpstream
}

func (b *bucket) remove(e *entry) {
	b.entries = slices.DeleteFunc(b.entries, func(other *entry) bool { return other == e })
}

// addToDigest includes an entry in the digests, if it is not included yet.
func (r *Roster) addToDigest(e *entry) {
	if e.inDigest {
		return
	}
	r.buckets[e.key.bucket()].hash ^= e.hash
	e.inDigest = true
	e.digestHash = e.hash
}

// removeFromDigest excludes an entry from the digests.
func (r *Roster) removeFromDigest(e *entry) {
	if !e.inDigest {
		return
	}
	r.buckets[e.key.bucket()].hash ^= e.digestHash
	e.inDigest = false
}

// groupHash returns the hash of the bucket hashes in a group.
func (r *Roster) groupHash(group int) uint64 {
	h := uint64(0)
	for i := range _bucketsPerGroup {
		// The rotation makes the result depend on the order of the buckets.
		h = h<<1 | h>>63
		h ^= r.buckets[group*_bucketsPerGroup+i].hash
	}
	return h
}

// Groups returns the hashes of all groups. Two rosters with equal hashes are considered
// equal.
func (r *Roster) Groups() []byte {
	out := make([]byte, 0, GroupsSize)
	for group := range _groups {
		out = binary.BigEndian.AppendUint64(out, r.groupHash(group))
	}
	return out
}

// Buckets compares the group hashes of another roster with those of this one. It returns
// this roster's hashes of all buckets in the groups that differ.
func (r *Roster) Buckets(groups []byte) []BucketHash {
	if len(groups) != GroupsSize {
		return nil
	}
	var out []BucketHash
	for group := range _groups {
		if binary.BigEndian.Uint64(groups[group*_hashSize:]) == r.groupHash(group) {
			continue
		}
		for i := range _bucketsPerGroup {
			index := group*_bucketsPerGroup + i
			out = append(out, BucketHash{uint8(index), r.buckets[index].hash})
		}
	}
	return out
}

// Differing compares bucket hashes of another roster with those of this one. It returns
// the buckets that differ.
func (r *Roster) Differing(theirs []BucketHash) []uint8 {
	var out []uint8
	for _, b := range theirs {
		if r.buckets[b.Bucket].hash != b.Hash {
			out = append(out, b.Bucket)
		}
	}
	return out
}

// Summarize returns a summary of each of the buckets.
func (r *Roster) Summarize(buckets []uint8) []Summary {
	out := make([]Summary, 0, len(buckets))
	for _, b := range buckets {
		s := Summary{Bucket: b}
		for _, e := range r.buckets[b].entries {
			if e.inDigest {
				s.Entries = appendAddr(s.Entries, e.key.Addr)
				s.Entries = binary.BigEndian.AppendUint32(s.Entries, uint32(e.hash))
			}
		}
		out = append(out, s)
	}
	return out
}

// Compare compares the roster with summaries of another one. It returns the entries that
// differ or are missing in the other roster, and the keys of the entries that differ or
// are missing in this one.
func (r *Roster) Compare(now time.Duration, summaries []Summary) ([]Delta, []Key) {
	var deltas []Delta
	var wants []Key
	for _, s := range summaries {
		if s.Validate() != nil {
			continue
		}
		theirs := make(map[netip.AddrPort]uint32, len(s.Entries)/_summarySize)
		for rest := s.Entries; len(rest) > 0; rest = rest[_summarySize:] {
			addr, hash := decodeSummaryEntry(rest)
			theirs[addr] = hash
			key := Key{bucketKind(s.Bucket), addr}
			e := r.entries[key]
			if e == nil || uint32(e.hash) != hash {
				wants = append(wants, key)
			}
		}
		for _, e := range r.buckets[s.Bucket].entries {
			hash, listed := theirs[e.key.Addr]
			if (listed && hash != uint32(e.hash)) || (!listed && e.inDigest) {
				deltas = append(deltas, e.delta(now))
			}
		}
	}
	return deltas, wants
}

// Deltas returns the entries with the given keys.
func (r *Roster) Deltas(now time.Duration, keys []Key) []Delta {
	var out []Delta
	for _, key := range keys {
		if e := r.entries[key]; e != nil {
			out = append(out, e.delta(now))
		}
	}
	return out
}

// decodeSummaryEntry returns the address and the hash of the first entry in b.
func decodeSummaryEntry(b []byte) (netip.AddrPort, uint32) {
	ip := netip.AddrFrom4([4]byte(b[:4]))
	port := binary.BigEndian.Uint16(b[4:])
	return netip.AddrPortFrom(ip, port), binary.BigEndian.Uint32(b[_addrSize:])
}

// mix improves the distribution of a hash by the finalizer of splitmix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
