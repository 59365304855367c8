package settings

import (
	"iter"

	"github.com/gravitational/trace"
)

// Document is one accepted revision of the tree, checked whole, with what is
// in force for every service. It is immutable. A nil Document is the state
// before the first one: revision zero, no services.
type Document struct {
	revision Revision
	tree     Tree
	services map[Path]Service
}

// NewDocument checks the tree and returns it as a document. The error carries
// the tree's Findings.
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

// NewServiceDocument returns a document of one service only, out of the values
// in force that another process resolved. The error carries Findings.
func NewServiceDocument(revision Revision, path Path, resolved Values) (*Document, error) {
	if !path.IsService() {
		return nil, trace.BadParameter("path %s: want a service", path)
	}
	return NewDocument(revision, Tree{}.With(path, resolved))
}

// Revision returns the document's revision.
func (d *Document) Revision() Revision {
	if d == nil {
		return 0
	}
	return d.revision
}

// Tree returns the tree of the document.
func (d *Document) Tree() Tree {
	if d == nil {
		return Tree{}
	}
	return d.tree
}

// Service returns what is in force at path.
func (d *Document) Service(path Path) (Service, bool) {
	if d == nil {
		return Service{}, false
	}
	s, ok := d.services[path]
	s.Revision = d.revision
	return s, ok
}

// Services yields what is in force for every service, in no order.
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

// newService returns the service at path out of values that passed the check.
func newService(path Path, v Values) Service {
	v = v.Over(defaultsOf(v))
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
