package settings

import (
	"strings"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
)

// Path names a node of the tree: the root, a region, a place in a region, or a
// service at a place. An empty part means that the path ends before it.
type Path struct {
	Region service.Region
	Place  service.Place
	Name   service.Name
}

// _rootName is how the root's path is written.
const _rootName = "/"

// _maxDepth is the depth of a service; the root has depth zero.
const _maxDepth = 3

// ParsePath reads a path such as "oslo/oslo-a/rutetjeneste". The root is "/".
func ParsePath(text string) (Path, error) {
	if text == _rootName {
		return Path{}, nil
	}
	parts := strings.Split(text, "/")
	if len(parts) > _maxDepth {
		return Path{}, trace.BadParameter("path %q: want region/place/service, region/place, region or /", text)
	}
	kinds := [_maxDepth]string{"region", "place", "service name"}
	for i, part := range parts {
		if err := service.CheckLabel(kinds[i], part); err != nil {
			return Path{}, trace.Wrap(err, "path %q", text)
		}
	}
	return pathOf(parts), nil
}

// String returns the path as ParsePath reads it.
func (p Path) String() string {
	if p == (Path{}) {
		return _rootName
	}
	return strings.Join(p.parts(), "/")
}

// MarshalText encodes the path as a string.
func (p Path) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes and checks a path.
func (p *Path) UnmarshalText(text []byte) error {
	parsed, err := ParsePath(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}

// IsService reports whether the path names a service at a place.
func (p Path) IsService() bool { return p.Name != "" }

// Parent returns the node that p inherits from; the root is its own parent.
func (p Path) Parent() Path {
	switch {
	case p.Name != "":
		return Path{Region: p.Region, Place: p.Place}
	case p.Place != "":
		return Path{Region: p.Region}
	default:
		return Path{}
	}
}

// Contains reports whether other is p or lies below it.
func (p Path) Contains(other Path) bool {
	return (p.Region == "" || p.Region == other.Region) &&
		(p.Place == "" || p.Place == other.Place) &&
		(p.Name == "" || p.Name == other.Name)
}

// Overlaps reports whether one of the two paths contains the other, so that a
// change at one can alter what is in force at the other.
func (p Path) Overlaps(other Path) bool {
	return p.Contains(other) || other.Contains(p)
}

func (p Path) parts() []string {
	parts := []string{string(p.Region), string(p.Place), string(p.Name)}
	for i, part := range parts {
		if part == "" {
			return parts[:i]
		}
	}
	return parts
}

func pathOf(parts []string) Path {
	var p Path
	if len(parts) > 0 {
		p.Region = service.Region(parts[0])
	}
	if len(parts) > 1 {
		p.Place = service.Place(parts[1])
	}
	if len(parts) > 2 {
		p.Name = service.Name(parts[2])
	}
	return p
}
