package cicadawire

import (
	"errors"
	"fmt"
	"time"
)

// A DialError reports that no connection could be established, so that nothing has
// been sent.
type DialError struct {
	address string
	err     error
}

// Error returns the address and the cause.
func (e *DialError) Error() string { return "cicadawire: dial " + e.address + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.err }

// A CallEnd is what ended a call without an answer.
type CallEnd string

// Ends of calls.
const (
	// EndedByContext means that the caller's context was done.
	EndedByContext CallEnd = "context"
	// EndedByConnection means that the connection was closed or reset.
	EndedByConnection CallEnd = "connection"
)

// A CallError reports a call that was sent and ended without an answer, so that the server may have
// served it. It says over which connection, as the cause alone does not: drpc reports
// context.Canceled for the end of a connection as well.
type CallError struct {
	address    string
	reused     bool
	age        time.Duration
	inactivity time.Duration
	end        CallEnd
	err        error
}

// isUnanswered reports whether an error means that no answer arrived.
func isUnanswered(err error) bool {
	var callErr *CallError
	return errors.As(err, &callErr)
}

// Error returns the address, the connection's state and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("cicadawire: call %s ended by %s (reused %t, open for %v, inactive for %v): %v", e.address, e.end, e.reused,
		e.age.Round(time.Millisecond), e.inactivity.Round(time.Millisecond), e.err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.err }

// Address returns the address that was called.
func (e *CallError) Address() string { return e.address }

// Reused reports whether the connection had served calls before.
func (e *CallError) Reused() bool { return e.reused }

// Age returns how long the connection has been open.
func (e *CallError) Age() time.Duration { return e.age }

// Inactivity returns for how long nothing was received on the connection.
func (e *CallError) Inactivity() time.Duration { return e.inactivity }

// End returns what ended the call.
func (e *CallError) End() CallEnd { return e.end }
