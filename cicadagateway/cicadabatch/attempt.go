package cicadabatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"cicadalink.example/cicadakernel/cicadawire"
)

// An Attempt is one try to call one owner.
type Attempt struct {
	peer Peer
	took time.Duration
	err  error // nil for an attempt that was answered
}

// End returns what ended the attempt.
func (a Attempt) End() AttemptEnd { return endOf(a.err) }

// String describes an attempt for a log line.
func (a Attempt) String() string {
	s := fmt.Sprintf("%s at %s", a.peer.Name, a.peer.Address)
	if a.peer.Relayed {
		s += " (relay)"
	}
	s += fmt.Sprintf(" after %v: %s", a.took.Round(time.Millisecond), a.End())
	var callErr *cicadawire.CallError
	if errors.As(a.err, &callErr) {
		s += fmt.Sprintf(" (reused %t, inactive for %v)", callErr.Reused(), callErr.Inactivity().Round(time.Millisecond))
	}
	return s
}

// An AttemptEnd is what ended an attempt to call an owner.
type AttemptEnd string

// Ends of attempts.
const (
	EndAnswered   AttemptEnd = "answered"
	EndNotDialed  AttemptEnd = "not connected" // nothing was sent
	EndConnection AttemptEnd = "connection ended"
	EndLimit      AttemptEnd = "time limit"
	EndCallerLeft AttemptEnd = "caller left"
	EndRemote     AttemptEnd = "error of the owner"
)

func endOf(err error) AttemptEnd {
	var (
		dialErr *cicadawire.DialError
		callErr *cicadawire.CallError
	)
	switch {
	case err == nil:
		return EndAnswered
	case errors.As(err, &dialErr):
		return EndNotDialed
	case errors.As(err, &callErr) && callErr.End() == cicadawire.EndedByConnection:
		return EndConnection
	case errors.Is(err, context.DeadlineExceeded):
		return EndLimit
	case errors.Is(err, context.Canceled):
		return EndCallerLeft
	}
	return EndRemote
}

// A CallFailure reports that no owner has answered a call.
type CallFailure struct {
	attempts []Attempt
	err      error // of the last attempt, or why there was none
}

// add adds an attempt without an answer.
func (f *CallFailure) add(a Attempt) {
	f.attempts = append(f.attempts, a)
	f.err = a.err
}

// Error returns the last error.
func (f *CallFailure) Error() string { return "call owner: " + f.err.Error() }

// Unwrap returns the error of the last attempt.
func (f *CallFailure) Unwrap() error { return f.err }

// End returns what ended the last attempt.
func (f *CallFailure) End() AttemptEnd {
	if len(f.attempts) == 0 {
		return EndNotDialed
	}
	return f.attempts[len(f.attempts)-1].End()
}

// Attempts describes the attempts in their order for a log line.
func (f *CallFailure) Attempts() string {
	parts := make([]string, len(f.attempts))
	for i, a := range f.attempts {
		parts[i] = a.String()
	}
	return strings.Join(parts, "; ")
}
