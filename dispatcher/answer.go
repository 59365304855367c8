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

// Problem is the body of an answer that the dispatcher itself generates, in the
// format of RFC 9457.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome has the value of the answer's HeaderOutcome.
	Outcome string `json:"outcome,omitempty"`
	// Reason has the value of the answer's HeaderReason.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMS is the delay in milliseconds after which to retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// RanStatus is the status of an earlier answer that was too large to remember.
	RanStatus int `json:"ran_status,omitempty"`
	// RanSize is the size in bytes of the body of that earlier answer.
	RanSize int64 `json:"ran_size,omitempty"`
	// RanDigest is the xxhash64 of the body of that earlier answer, in hexadecimal.
	RanDigest string `json:"ran_digest,omitempty"`
}

// _problemType is the media type of a Problem.
const _problemType = "application/problem+json"

// writeProblem writes p as the answer, with the header fields that follow from it.
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
	// The write fails only if the caller's connection is broken, and then no
	// answer can be given.
	_ = json.NewEncoder(w).Encode(p)
}

// queueRefusalProblem returns the answer to a request that the queue refused.
func queueRefusalProblem(refuse queue.Refuse) Problem {
	return Problem{
		Status:       http.StatusServiceUnavailable,
		Detail:       "the request was refused before it started",
		Outcome:      OutcomeNotRun,
		Reason:       refuse.Reason.String(),
		RetryAfterMS: refuse.RetryAfter.Milliseconds(),
	}
}

// notRunProblem returns the answer to a request that did not run and may be sent
// again. The reason is a value of HeaderReason.
func notRunProblem(reason, detail string, retryAfter time.Duration) Problem {
	return Problem{
		Status:       http.StatusServiceUnavailable,
		Detail:       detail,
		Outcome:      OutcomeNotRun,
		Reason:       reason,
		RetryAfterMS: retryAfter.Milliseconds(),
	}
}

// unknownProblem returns the answer to a request that may have run.
func unknownProblem(status int, detail string) Problem {
	return Problem{
		Status:  status,
		Detail:  detail + "; the outcome is unknown and the request was not repeated",
		Outcome: OutcomeUnknown,
	}
}

// writeRemembered writes the remembered answer of an earlier run, or a Problem that
// describes it if its body was too large to remember.
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
	// The write fails only if the caller's connection is broken, and then no
	// answer can be given.
	_, _ = w.Write(done.Body)
}
