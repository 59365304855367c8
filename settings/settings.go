// Package settings defines the tree of the operators' settings. Its levels are
// the root, the regions, the places in a region, and the services at a place. A
// node inherits every setting that it does not set itself from its parent.
//
// The package does no I/O and keeps no state. A Tree is an immutable value;
// applying Edits to it returns a new tree. Tree.Check returns every problem in a
// tree as a Finding with its path and field. A Document is a tree that passed the
// check, with the resolved settings of every service. Processes only put a Document
// in force, never an unchecked Tree.
//
// In JSON, a tree is one object that maps the path of each node to the node's own
// values, so that a node can be read, compared and changed on its own:
//
//	{
//	  "/":                         {"drain_deadline": "8h"},
//	  "oslo":                      {"slots": 4},
//	  "oslo/oslo-a/rutetjeneste":  {"id": 1, "addresses": ["192.0.2.1:443"], "max_flows": 14000}
//	}
package settings
