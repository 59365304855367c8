// Package standin provides fakes of the systems around dandelionhitch: the
// platform's object API, the network fabric that spreads packets over the
// balancers, the upstreams, and the callers. It also provides a deterministic
// Simulation of a fleet of relays and sidecars. Only tests, the try command and the
// soak use the package.
//
// The fakes can inject faults that the real systems are known to have. A fake that
// takes a seed makes the same random choices on every run.
package standin
