// Package roster holds what is known of upstreams and balancers: records that
// each have a single writer, suspicions about them, and verdicts that a run has
// ended. It is pure: time comes in as an argument.
package roster
