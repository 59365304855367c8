package audit

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// ConflictError says that a change was refused because the branch that it
// edits has changed since its author saw it. It carries both edits.
type ConflictError struct {
	// Mine is the refused change.
	Mine Change `json:"mine"`
	// Theirs are the accepted changes that it overlaps with, oldest first.
	Theirs []Change `json:"theirs"`
}

// Error names the refused change and those in its way.
func (e *ConflictError) Error() string {
	theirs := make([]string, len(e.Theirs))
	for i, change := range e.Theirs {
		theirs[i] = fmt.Sprintf("revision %d by %s (%s)", change.Revision, change.Author, change.Reason)
	}
	return fmt.Sprintf("the branch has changed since revision %d: %s", e.Mine.Base, strings.Join(theirs, ", "))
}

// IsCompareFailedError makes trace count a conflict as a failed comparison.
func (*ConflictError) IsCompareFailedError() bool { return true }

// Verdict is the judgement on a proposed change: Accepted or Already.
type Verdict interface{ isVerdict() }

// Accepted says that the change may be committed and leads to Tree.
type Accepted struct {
	Tree settings.Tree
}

// Already says that the change was committed before.
type Already struct {
	Change Change
}

func (Accepted) isVerdict() {}
func (Already) isVerdict()  {}

// Judge decides on a proposed change. The tree is the head's; later are all
// accepted changes above the change's base, with their edits.
//
// A branch is a node with all its ancestors and descendants. An author who
// edits a node relied on what it inherits and decided what lies below it, so a
// later change of another setting on the same line counts as well: together
// they could put in force what neither author saw. Changes on different
// branches do not hinder each other. Their union is still checked whole, and
// findings refuse the later one.
//
// The error is a ConflictError, or carries settings.Findings.
func Judge(head Head, tree settings.Tree, change Change, later []Change) (Verdict, error) {
	conflict := &ConflictError{Mine: change}
	for _, accepted := range later {
		if accepted.ID == change.ID {
			return already(change, accepted)
		}
		if change.Overlaps(accepted) {
			conflict.Theirs = append(conflict.Theirs, accepted)
		}
	}
	if len(conflict.Theirs) > 0 {
		return nil, conflict
	}
	next, err := tree.Apply(change.Edits...)
	if err != nil {
		return nil, trace.Wrap(err, "change %s does not fit revision %d", change.ID, change.Base)
	}
	findings := append(next.Check(), head.RetiredIDs.check(change.Edits)...)
	if err := findings.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return Accepted{Tree: next}, nil
}

// already returns the accepted change if it is the proposed one.
func already(change, accepted Change) (Verdict, error) {
	same := slices.EqualFunc(change.Edits, accepted.Edits, settings.Edit.Equal)
	if !same {
		return nil, trace.BadParameter("change id %s was used for other edits at revision %d", change.ID, accepted.Revision)
	}
	return Already{Change: accepted}, nil
}
