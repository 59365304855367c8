package settings

import (
	"iter"
)

// Document is one accepted revision of the tree, checked whole, with what is
// in force for every service. It is immutable.
type Document struct {
	revision Revision
	services map[Path]Service
}

// Revision returns the document's revision; a nil document has revision zero.
func (d *Document) Revision() Revision {
	if d == nil {
		return 0
	}
	return d.revision
}

// Service returns what is in force at path.
func (d *Document) Service(path Path) (Service, bool) {
	if d == nil {
		return Service{}, false
	}
	s, ok := d.services[path]
	return s, ok
}

// Services yields what is in force for every service, in no order.
func (d *Document) Services() iter.Seq[Service] {
	return func(yield func(Service) bool) {
		if d == nil {
			return
		}
		for _, s := range d.services {
			if !yield(s) {
				return
			}
		}
	}
}
