package controlclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

var (
	// ErrNoAddresses is returned by a client without addresses of controllers.
	ErrNoAddresses = errors.New("no controller addresses")
	// ErrNotFound is returned when a resource has no version yet.
	ErrNotFound = errors.New("there is none yet")
)

// UnreachableError reports a controller that sent no response or an incomplete one.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("controller at %s does not respond: %v", e.Address, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Address string
	Status  int    // HTTP status
	Message string // the error text in the response; "" = none
}

// newStatusError returns the error for a response, with the message of its body if that is the JSON of an error.
func newStatusError(address string, status int, body []byte) *StatusError {
	var reply struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &reply) != nil {
		reply.Error = ""
	}
	return &StatusError{Address: address, Status: status, Message: reply.Error}
}

func (e *StatusError) Error() string {
	message := e.Message
	if message == "" {
		message = fmt.Sprintf("status %d", e.Status)
	}
	if e.Rejected() {
		return "rejected: " + message
	}
	return fmt.Sprintf("controller at %s: %s", e.Address, message)
}

// Rejected reports whether the response is final, which means that every controller would reject the request. Otherwise the same request may
// have another outcome if it is repeated.
func (e *StatusError) Rejected() bool {
	return e.Status/100 == 4 && e.Status != http.StatusRequestTimeout && e.Status != http.StatusTooManyRequests
}

// isFinal reports whether an error is a final response, after which no other controller is called.
func isFinal(err error) bool {
	var status *StatusError
	return errors.Is(err, ErrNotFound) || errors.As(err, &status) && status.Rejected()
}

// isRetryable reports whether an error is a response that says that the outcome is not known yet, so that the call is repeated.
func isRetryable(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && !status.Rejected()
}
