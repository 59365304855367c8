// Package queue decides which requests run at one upstream, which wait, and
// which are refused.
//
// An upstream has a few slots. Without a decision in front of it, short
// requests wait behind work that runs a hundred times longer, and at a crest
// of demand every request waits until its caller has given up, so that the
// upstream works for nobody. A Queue keeps slots for short requests, bounds
// the wait, refuses at once what cannot be answered in time, and lowers the
// number of slots in use when the measured run times show that the upstream is
// overloaded, whatever its health endpoint says.
//
// A Queue is a state machine without clock, socket or goroutine: each method
// takes the monotonic time since the process began and returns what is to be
// done as Action values. Its owner calls it from one goroutine:
//
//	Offer ──► Start | Wait | Refuse      (the answer for the offered request)
//	Finish, Cancel, SetLimits, Tick ──►  Start and Refuse for requests that waited
package queue
