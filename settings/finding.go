package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem in a tree.
type Finding struct {
	// Path is the node that has the problem.
	Path Path `json:"path"`
	// Field is the setting that has the problem; empty if the whole node has it.
	Field Field `json:"field,omitempty"`
	// Message describes the problem and the valid values.
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Path, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Field, f.Message)
}

// Findings are all problems in a tree.
type Findings []Finding

// FindingsError carries one or more findings. trace.IsBadParameter reports true for
// it.
type FindingsError struct {
	Findings Findings
}

// Error lists the findings, one per line.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return fmt.Sprintf("%d findings:\n%s", len(lines), strings.Join(lines, "\n"))
}

// IsBadParameterError makes trace.IsBadParameter report true for the error.
func (*FindingsError) IsBadParameterError() bool { return true }

// Err returns the findings as a FindingsError, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &FindingsError{Findings: f}
}

// FindingsOf returns the findings of the FindingsError in err's chain, or nil if
// there is none.
func FindingsOf(err error) Findings {
	var findings *FindingsError
	if !errors.As(err, &findings) {
		return nil
	}
	return findings.Findings
}

func (f *Findings) add(path Path, field Field, format string, args ...any) {
	*f = append(*f, Finding{Path: path, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(comparePaths(a.Path, b.Path), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
}

func comparePaths(a, b Path) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Place, b.Place), cmp.Compare(a.Name, b.Name))
}
