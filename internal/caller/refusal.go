package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/failure"
)

// Request and response headers of the caller API.
const (
	headerRan            = "Daisyslip-Ran"
	headerRequestID      = "Daisyslip-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Request-Deadline-Ms"
	headerPriority       = "X-Request-Priority"
	headerReplayed       = "Daisyslip-Replayed"
)

// ErrorDetail describes a failure to the caller. Code, Message, Step, Peer and Ran are
// those of the failure.Error.
type ErrorDetail struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
	Step    string       `json:"step"`
	Peer    string       `json:"peer"`
	Ran     failure.Ran  `json:"ran"`
	// Type repeats the code for clients of the OpenAI API, which read this
	// field.
	Type failure.Code `json:"type"`
	// RequestID identifies the request's trace.
	RequestID string `json:"request_id,omitempty"`
}

// ErrorBody is the JSON body of every error response, and of the last event of a
// stream that failed.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// statusByCode maps failure codes to HTTP statuses; all other codes are 500.
var statusByCode = map[failure.Code]int{
	failure.BadRequest:       http.StatusBadRequest,
	failure.KeyRequired:      http.StatusBadRequest,
	failure.Unauthorized:     http.StatusUnauthorized,
	failure.Forbidden:        http.StatusForbidden,
	failure.NotFound:         http.StatusNotFound,
	failure.MethodNotAllowed: http.StatusMethodNotAllowed,
	failure.TooLarge:         http.StatusRequestEntityTooLarge,
	failure.Conflict:         http.StatusConflict,
	failure.KeyReused:        http.StatusConflict,
	failure.OutcomeUnknown:   http.StatusConflict,
	failure.BudgetExhausted:  http.StatusPaymentRequired,
	failure.BudgetBusy:       http.StatusServiceUnavailable,
	failure.Overloaded:       http.StatusServiceUnavailable,
	failure.NoEndpoint:       http.StatusServiceUnavailable,
	failure.StoreUnavailable: http.StatusServiceUnavailable,
	failure.PeerUnavailable:  http.StatusServiceUnavailable,
	failure.StaleView:        http.StatusServiceUnavailable,
	failure.Draining:         http.StatusServiceUnavailable,
	failure.EndpointFailed:   http.StatusBadGateway,
	failure.Deadline:         http.StatusGatewayTimeout,
	failure.Canceled:         statusClientClosed,
}

// statusClientClosed is the conventional status for a caller that has
// disconnected. No caller receives it.
const statusClientClosed = 499

// defaultRetryAfter is the Retry-After of a 503 response whose failure names no
// time.
const defaultRetryAfter = time.Second

// statusFor returns the HTTP status for a failure code.
func statusFor(code failure.Code) int {
	if status, found := statusByCode[code]; found {
		return status
	}
	return http.StatusInternalServerError
}

// asFailure converts an error of serving a request to a failure. An error of
// unknown kind becomes an Internal failure.
func asFailure(err error) *failure.Error {
	if f := failure.As(err); f != nil {
		return f
	}
	switch {
	case errors.Is(err, budget.ErrExhausted), errors.Is(err, budget.ErrNotFound):
		return failure.Wrap(failure.BudgetExhausted, "reserve tokens", "", err)
	case errors.Is(err, budget.ErrBusy):
		return failure.Wrap(failure.BudgetBusy, "reserve tokens", "", err).WithRetry(defaultRetryAfter)
	case errors.Is(err, budget.ErrUnavailable):
		return failure.Wrap(failure.StoreUnavailable, "reserve tokens", "platform", err).WithRetry(defaultRetryAfter)
	case errors.Is(err, budget.ErrConflict):
		return failure.Wrap(failure.KeyReused, "reserve tokens", "", err)
	case errors.Is(err, context.DeadlineExceeded):
		return failure.Wrap(failure.Deadline, "serve request", "", err)
	case errors.Is(err, context.Canceled):
		return failure.Wrap(failure.Canceled, "serve request", "caller", err)
	}
	return failure.Wrap(failure.Internal, "serve request", "", err)
}

// writeFailure writes a failure as the whole response.
func writeFailure(w http.ResponseWriter, requestID string, f *failure.Error) {
	status := statusFor(f.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRan, string(f.Ran))
	retry := f.RetryAfter
	if retry == 0 && status == http.StatusServiceUnavailable {
		retry = defaultRetryAfter
	}
	if retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.WriteHeader(status)
	w.Write(encodeErrorBody(requestID, f))
}

// encodeErrorBody encodes a failure as an ErrorBody.
func encodeErrorBody(requestID string, f *failure.Error) []byte {
	data, err := json.Marshal(ErrorBody{Error: ErrorDetail{
		Code:      f.Code,
		Message:   f.Message,
		Step:      f.Step,
		Peer:      f.Peer,
		Ran:       f.Ran,
		Type:      f.Code,
		RequestID: requestID,
	}})
	if err != nil {
		panic(err) // cannot happen: the body holds only strings
	}
	return data
}
