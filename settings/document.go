package settings

import (
	"iter"

	"github.com/gravitational/trace"
)

// Document is one revision of the tree that passed the check, with the resolved
// settings of every service. It is immutable. A nil Document represents the state
// before the first revision: revision zero and no services.
type Document struct {
	revision Revision
	tree     Tree
	services map[Path]Service
}

// NewDocument checks the tree and returns it as a document. If the check fails, the
// error carries the Findings.
func NewDocument(revision Revision, tree Tree) (*Document, error) {
	if err := tree.Check().Err(); err != nil {
		return nil, trace.Wrap(err, "settings revision %d", revision)
	}
	d := &Document{revision: revision, tree: tree, services: make(map[Path]Service, tree.Len())}
	for path := range tree.All() {
		if path.IsService() {
			d.services[path] = newService(path, tree.Resolve(path))
		}
	}
	return d, nil
}

// NewServiceDocument returns a document that holds only the service at path, with values
// that another process has resolved. If path does not name a service, it returns a
// BadParameter error. If the check fails, the error carries the Findings.
func NewServiceDocument(revision Revision, path Path, resolved Values) (*Document, error) {
	if !path.IsService() {
		return nil, trace.BadParameter("path %s: want a service", path)
	}
	return NewDocument(revision, Tree{}.With(path, resolved))
}

// Revision returns the document's revision, or zero for a nil document.
func (d *Document) Revision() Revision {
	if d == nil {
		return 0
	}
	return d.revision
}

// Tree returns the document's tree, which is empty for a nil document.
func (d *Document) Tree() Tree {
	if d == nil {
		return Tree{}
	}
	return d.tree
}

// Service returns the resolved settings of the service at path, and whether there
// is one.
func (d *Document) Service(path Path) (Service, bool) {
	if d == nil {
		return Service{}, false
	}
	s, ok := d.services[path]
	s.Revision = d.revision
	return s, ok
}

// Services yields the resolved settings of every service, in no particular order.
func (d *Document) Services() iter.Seq[Service] {
	return func(yield func(Service) bool) {
		if d == nil {
			return
		}
		for _, s := range d.services {
			s.Revision = d.revision
			if !yield(s) {
				return
			}
		}
	}
}

// newService returns the service at path with resolved values v, which passed the
// check.
func newService(path Path, v Values) Service {
	v = v.InheritFrom(defaultsOf(v))
	return Service{
		Region:    path.Region,
		Place:     path.Place,
		Name:      path.Name,
		ID:        *v.ID,
		Addresses: v.Addresses,
		Limits: Limits{
			Flows:            *v.MaxFlows,
			FlowsPerUpstream: *v.MaxFlowsPerUpstream,
			Slots:            *v.Slots,
			ReservedSlots:    *v.ReservedSlots,
			QueueLength:      *v.QueueLength,
			MaxHosts:         *v.MaxHosts,
		},
		Requests: Requests{
			LongRoutes:          v.LongRoutes,
			NonRepeatableRoutes: v.NonRepeatableRoutes,
			Timeout:             *v.RequestTimeout,
		},
		DrainDeadline: *v.DrainDeadline,
	}
}
