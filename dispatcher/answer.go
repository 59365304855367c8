package dispatcher

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/ticket"
)

// Problem is the body of an answer that is the dispatcher's own, in the form
// of RFC 9457.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome is the same as HeaderOutcome.
	Outcome string `json:"outcome,omitempty"`
	// Reason is the same as HeaderReason.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds from now.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// RanStatus is the status of an answer that was too large to remember.
	RanStatus int `json:"ran_status,omitempty"`
	// RanSize is the size in octets of such an answer's body.
	RanSize int64 `json:"ran_size,omitempty"`
	// RanDigest is the xxhash64 of such an answer's body, in hexadecimal.
	RanDigest string `json:"ran_digest,omitempty"`
}

// _problemType is the media type of a Problem.
const _problemType = "application/problem+json"

// writeProblem answers with p.
func writeProblem(w http.ResponseWriter, p Problem) {
	p.Title = http.StatusText(p.Status)
	header := w.Header()
	header.Set("Content-Type", _problemType)
	header.Set("Cache-Control", "no-store")
	if p.Outcome != "" {
		header.Set(HeaderOutcome, p.Outcome)
	}
	if p.Reason != "" {
		header.Set(HeaderReason, p.Reason)
	}
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / 1000)
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	// An error here is the caller's connection, which learns of it by itself.
	_ = json.NewEncoder(w).Encode(p)
}

// refusalOf returns the answer for a request that the queue refused.
func queueRefusalProblem(refuse queue.Refuse) Problem {
	return Problem{
		Status:       http.StatusServiceUnavailable,
		Detail:       "the request was refused before it started",
		Outcome:      OutcomeNotRun,
		Reason:       refuse.Reason.String(),
		RetryAfterMS: refuse.RetryAfter.Milliseconds(),
	}
}

// notRun returns the answer for a request that did not run and may be sent
// anew. The reason is one of those of HeaderReason.
func notRunProblem(reason, detail string, retryAfter time.Duration) Problem {
	return Problem{
		Status:       http.StatusServiceUnavailable,
		Detail:       detail,
		Outcome:      OutcomeNotRun,
		Reason:       reason,
		RetryAfterMS: retryAfter.Milliseconds(),
	}
}

// unknown returns the answer for a request that may have run.
func unknownProblem(status int, detail string) Problem {
	return Problem{
		Status:  status,
		Detail:  detail + "; the outcome is unknown and the request was not repeated",
		Outcome: OutcomeUnknown,
	}
}

// writeDone answers with a remembered answer.
func writeRemembered(w http.ResponseWriter, done ticket.Done) {
	if !done.Kept {
		writeProblem(w, Problem{
			Status:    http.StatusConflict,
			Detail:    "the request ran once before; its answer was too large to remember",
			Outcome:   OutcomeDone,
			RanStatus: done.Status,
			RanSize:   done.Size,
			RanDigest: strconv.FormatUint(done.Digest, 16),
		})
		return
	}
	header := w.Header()
	for name, values := range done.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(done.Body)))
	w.WriteHeader(done.Status)
	// An error here is the caller's connection, which learns of it by itself.
	_, _ = w.Write(done.Body)
}
