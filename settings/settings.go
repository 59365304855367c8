// Package settings is the tree of an operator's settings: regions, the places
// in them, and the services at each place. A lower node inherits what it does
// not override.
//
// The package is pure: a Tree is an immutable value, and every edit yields a
// new one or a list of findings. The follower carries trees between processes;
// the platform keeps the accepted one.
package settings
