package audit

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// ConflictError reports that a change was refused because a branch that it edits
// has changed since its base revision. It holds the changes of both sides.
type ConflictError struct {
	// Mine is the refused change.
	Mine Change `json:"mine"`
	// Theirs holds the accepted changes that overlap with Mine, oldest first.
	Theirs []Change `json:"theirs"`
}

// Error describes the conflict: the base revision and the conflicting changes.
func (e *ConflictError) Error() string {
	theirs := make([]string, len(e.Theirs))
	for i, change := range e.Theirs {
		theirs[i] = fmt.Sprintf("revision %d by %s (%s)", change.Revision, change.Author, change.Reason)
	}
	return fmt.Sprintf("the branch has changed since revision %d: %s", e.Mine.Base, strings.Join(theirs, ", "))
}

// IsCompareFailedError makes trace.IsCompareFailed return true for a conflict.
func (*ConflictError) IsCompareFailedError() bool { return true }

// Verdict is the result of Evaluate for a change that is not refused: Accepted or
// AlreadyCommitted.
type Verdict interface{ isVerdict() }

// Accepted means that the change may be committed. Tree is the tree with the
// change applied.
type Accepted struct {
	Tree settings.Tree
}

// AlreadyCommitted means that the change was committed by an earlier attempt. Change is the
// committed change.
type AlreadyCommitted struct {
	Change Change
}

func (Accepted) isVerdict()         {}
func (AlreadyCommitted) isVerdict() {}

// Evaluate decides whether a proposed change is accepted. tree is the tree at the
// head's revision. later holds all accepted changes with a revision above the
// change's base, with their edits.
//
// A change conflicts with a later one if they edit the same branch. The branch of
// a node consists of the node, its ancestors and its descendants: a node inherits
// values from its ancestors and passes values on to its descendants, so two
// changes on one branch could together put values in force that neither author
// has seen, even if they edit different settings. Changes on different branches do
// not conflict. The resulting tree is still checked as a whole, and findings refuse
// the change.
//
// The error is a ConflictError if a later change conflicts, a BadParameter error
// if the change's ID was used for other edits, and otherwise the error of
// Tree.Apply or of settings.Findings.
func Evaluate(head Head, tree settings.Tree, change Change, later []Change) (Verdict, error) {
	conflict := &ConflictError{Mine: change}
	for _, accepted := range later {
		if accepted.ID == change.ID {
			return alreadyCommitted(change, accepted)
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

// alreadyCommitted returns the verdict for a change whose ID an accepted change
// already has: AlreadyCommitted if their edits are equal, otherwise a BadParameter
// error.
func alreadyCommitted(change, accepted Change) (Verdict, error) {
	same := slices.EqualFunc(change.Edits, accepted.Edits, settings.Edit.Equal)
	if !same {
		return nil, trace.BadParameter("change id %s was used for other edits at revision %d", change.ID, accepted.Revision)
	}
	return AlreadyCommitted{Change: accepted}, nil
}
