package settings

import (
	"strings"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
)

// Path names a node of the tree: the root, a region, a place in a region, or a
// service at a place. If a part is empty, all parts after it are empty too.
type Path struct {
	Region service.Region
	Place  service.Place
	Name   service.Name
}

// _rootText is the text form of the root's path.
const _rootText = "/"

// _maxDepth is the number of parts in a service's path; the root's path has none.
const _maxDepth = 3

// ParsePath parses a path such as "oslo/oslo-a/rutetjeneste"; "/" is the root. It
// returns a BadParameter error if the path is malformed.
func ParsePath(text string) (Path, error) {
	if text == _rootText {
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

// String returns the path in the form that ParsePath accepts.
func (p Path) String() string {
	if p == (Path{}) {
		return _rootText
	}
	return strings.Join(p.parts(), "/")
}

// MarshalText encodes the path in the form of String.
func (p Path) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the path like ParsePath.
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

// Parent returns the path of the node that p inherits from. The root is its own
// parent.
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

// Contains reports whether other is p or a descendant of p.
func (p Path) Contains(other Path) bool {
	return (p.Region == "" || p.Region == other.Region) &&
		(p.Place == "" || p.Place == other.Place) &&
		(p.Name == "" || p.Name == other.Name)
}

// Overlaps reports whether one of the two paths contains the other, so that a
// change at the ancestor can affect the effective values at the descendant.
func (p Path) Overlaps(other Path) bool {
	return p.Contains(other) || other.Contains(p)
}

// parts returns the non-empty parts of the path, from the region down.
func (p Path) parts() []string {
	parts := []string{string(p.Region), string(p.Place), string(p.Name)}
	for i, part := range parts {
		if part == "" {
			return parts[:i]
		}
	}
	return parts
}

// pathOf is the inverse of Path.parts.
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
