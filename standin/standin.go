// Package standin holds small stand-ins for what surrounds dandelionhitch: the
// platform's object API, the fabric that sprays packets over the balancers, the
// upstreams, and the callers. They serve tests and the try command only.
//
// Each one can be told to misbehave in the ways that the real one is known to.
// A stand-in with a seed makes the same choices on every run.
package standin
