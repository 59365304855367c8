// Package settings is the tree of an operator's settings: regions, the places
// in them, and the services at each place. A lower node inherits what it does
// not override.
//
// The package is pure. A Tree is an immutable value: an operator's Edits turn
// it into a new one. Check collects everything that is wrong with a tree, each
// Finding with its path and field. A Document is a tree that passed the check,
// with what is in force for every service; only a Document is ever used by
// a process.
//
// In JSON a tree is one object from paths to values, so that a node can be
// read, compared and changed without its surroundings:
//
//	{
//	  "/":                         {"drain_deadline": "8h"},
//	  "oslo":                      {"slots": 4},
//	  "oslo/oslo-a/rutetjeneste":  {"id": 1, "addresses": ["192.0.2.1:443"], "max_flows": 14000}
//	}
package settings
