// Package cicadaerror holds the errors that callers and operators see. Each
// has an HTTP status, a type and a code, says whether the request is known not
// to have run, and may carry a time to wait before a retry.
//
// # Usage
//
//	return cicadaerror.New(cicadaerror.Overloaded, "no endpoint of model %q is free", model).
//		NotRun().RetryAfter(time.Second)
//
//	cicadaerror.Write(w, err)
//
// Any other error is written as an internal error, without its text.
package cicadaerror

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// A Code names what went wrong. The string is what callers see.
type Code string

// Codes of errors.
const (
	BadRequest     Code = "bad-request"
	Unprocessable  Code = "unprocessable"
	Unauthorized   Code = "unauthorized"
	Forbidden      Code = "forbidden"
	NotFound       Code = "not-found"
	Conflict       Code = "conflict"
	InProgress     Code = "in-progress"
	KeyReused      Code = "idempotency-key-reused"
	TooLarge       Code = "too-large"
	RateLimited    Code = "rate-limited"
	Overloaded     Code = "overloaded"
	Quarantined    Code = "quarantined"
	OutcomeUnknown Code = "outcome-unknown"
	Unavailable    Code = "unavailable"
	EngineFailed   Code = "engine-failed"
	Timeout        Code = "timeout"
	Internal       Code = "internal"
)

type shape struct {
	status int
	kind   string
}

var shapes = map[Code]shape{
	BadRequest:     {http.StatusBadRequest, "invalid_request_error"},
	Unprocessable:  {http.StatusUnprocessableEntity, "invalid_request_error"},
	Unauthorized:   {http.StatusUnauthorized, "authentication_error"},
	Forbidden:      {http.StatusForbidden, "permission_error"},
	NotFound:       {http.StatusNotFound, "not_found_error"},
	Conflict:       {http.StatusConflict, "conflict_error"},
	InProgress:     {http.StatusConflict, "conflict_error"},
	KeyReused:      {http.StatusConflict, "conflict_error"},
	TooLarge:       {http.StatusRequestEntityTooLarge, "invalid_request_error"},
	RateLimited:    {http.StatusTooManyRequests, "rate_limit_error"},
	Overloaded:     {http.StatusServiceUnavailable, "overloaded_error"},
	Quarantined:    {http.StatusUnprocessableEntity, "quarantined_error"},
	OutcomeUnknown: {http.StatusBadGateway, "outcome_unknown_error"},
	Unavailable:    {http.StatusServiceUnavailable, "unavailable_error"},
	EngineFailed:   {http.StatusBadGateway, "engine_error"},
	Timeout:        {http.StatusGatewayTimeout, "timeout_error"},
	Internal:       {http.StatusInternalServerError, "internal_error"},
}

// An Error is an error that a caller sees.
type Error struct {
	code       Code
	message    string
	param      string
	notRun     bool
	retryAfter time.Duration
	cause      error
}

// New returns an error of a code.
func New(code Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{code: code, message: wrapped.Error(), cause: errors.Unwrap(wrapped)}
}

// NotRun says that the request is known not to have run.
func (e *Error) NotRun() *Error {
	e.notRun = true
	return e
}

// RetryAfter says when a retry may help.
func (e *Error) RetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return e
}

// Param names the field of the request that is wrong.
func (e *Error) Param(name string) *Error {
	e.param = name
	return e
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.code) + ": " + e.message }

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the error's code.
func (e *Error) Code() Code { return e.code }

// Message returns the text without the code.
func (e *Error) Message() string { return e.message }

// IsNotRun reports whether the request is known not to have run.
func (e *Error) IsNotRun() bool { return e.notRun }

// Wait returns when a retry may help, or 0.
func (e *Error) Wait() time.Duration { return e.retryAfter }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if s, ok := shapes[e.code]; ok {
		return s.status
	}
	return http.StatusInternalServerError
}

// Body is the JSON form of an error.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the inner part of a Body.
type Detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	Param   string `json:"param,omitempty"`
	NotRun  bool   `json:"not_run"`
}

// Body returns the error's JSON form.
func (e *Error) Body() Body {
	return Body{Error: Detail{Message: e.message, Type: shapes[e.code].kind, Code: e.code, Param: e.param, NotRun: e.notRun}}
}

// From returns err as an Error: itself if it is one, else an internal error.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, "internal error")
}

// Write answers a request with an error.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.Body())
}
