// Package cicadaerror defines the errors that are returned to callers and
// operators. Each error has an HTTP status, a type and a code, specifies whether
// the request is known not to have run, and may hold a retry delay.
//
// # Usage
//
//	return cicadaerror.New(cicadaerror.Overloaded, "no endpoint of model %q is free", model).
//		NotRun().RetryAfter(time.Second)
//
//	cicadaerror.Write(w, err)
//
// Any other error is written as an internal error without its text, so that no
// internal details leak to callers.
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

// A Code identifies the kind of an error. Its string is part of the API.
type Code string

// Error codes.
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

type codeInfo struct {
	status    int
	errorType string
}

var codeInfos = map[Code]codeInfo{
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

// An Error is an error that is returned to a caller.
type Error struct {
	code       Code
	message    string
	param      string
	notRun     bool
	retryAfter time.Duration
	cause      error
}

// New returns an error with a code and a formatted message. If the format wraps an
// error with %w, that is the cause.
func New(code Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{code: code, message: wrapped.Error(), cause: errors.Unwrap(wrapped)}
}

// NotRun marks the request as known not to have run, and returns e.
func (e *Error) NotRun() *Error {
	e.notRun = true
	return e
}

// RetryAfter sets the delay after which the caller may retry, and returns e.
func (e *Error) RetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return e
}

// Param sets the name of the invalid request field, and returns e.
func (e *Error) Param(name string) *Error {
	e.param = name
	return e
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.code) + ": " + e.message }

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the error code.
func (e *Error) Code() Code { return e.code }

// Message returns the message without the code.
func (e *Error) Message() string { return e.message }

// IsNotRun reports whether the request is known not to have run.
func (e *Error) IsNotRun() bool { return e.notRun }

// RetryDelay returns the delay set by RetryAfter, or 0.
func (e *Error) RetryDelay() time.Duration { return e.retryAfter }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if info, ok := codeInfos[e.code]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Body is the JSON response body of an error.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the error object in a Body.
type Detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	Param   string `json:"param,omitempty"`
	NotRun  bool   `json:"not_run"`
}

// Body returns the error's JSON response body.
func (e *Error) Body() Body {
	return Body{Error: Detail{Message: e.message, Type: codeInfos[e.code].errorType, Code: e.code, Param: e.param, NotRun: e.notRun}}
}

// From returns the Error in err's chain. If there is none, it returns an internal
// error without err's text.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "internal error")
}

// Write writes err as the HTTP response of a request.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.Body())
}
