package calls

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/httplimit"
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/tcpreset"
)

// executionHeader is the response header with which a service states, by the value
// "no", that it refused a call and did not execute it.
const executionHeader = "Daisyslip-Ran"

// sender sends calls to instances. Each call has a new connection: on a reused one
// the instance may write an earlier response once more, which names no request and so
// would count as that of this call. An idle connection may also have died unnoticed,
// and Go's HTTP client resends a request with an Idempotency-Key header on its own if
// a reused connection breaks.
type sender struct {
	maxResponseBytes int64
	client           *http.Client
}

// newSender returns a sender.
func newSender(s Settings) *sender {
	transport := &http.Transport{
		DialContext:            tcpreset.Dial((&net.Dialer{Timeout: s.DialTimeout}).DialContext),
		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
		DisableKeepAlives:      true,
	}
	return &sender{maxResponseBytes: s.MaxResponseBytes, client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect returns a redirect response as it is, because following it would
// send the call a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// maxStatus is the largest valid HTTP status.
const maxStatus = 599

// send sends the call to one instance and reads its complete response. The failure's
// Ran is RanNo only if no byte was sent, or if the instance states that it did not
// execute the call.
func (s *sender) send(ctx context.Context, c *requests.Call, instance *catalog.Member) (*requests.Response, *failure.Error) {
	req, err := newRequest(ctx, c, instance)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, "make call", instance.Name, err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, sendFailure(instance.Name, err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(executionHeader) == string(failure.RanNo) && resp.StatusCode >= http.StatusBadRequest {
		return nil, failure.New(failure.EndpointFailed, "call service", instance.Name,
			fmt.Sprintf("status %d: the instance refused the call and did not run it", resp.StatusCode)).WithRetry(time.Second)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return nil, failure.New(failure.OutcomeUnknown, "read answer", instance.Name, fmt.Sprintf("status %d is not valid", resp.StatusCode)).WithRan(failure.RanUnknown)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.maxResponseBytes+1))
	if err == nil && int64(len(body)) > s.maxResponseBytes {
		err = fmt.Errorf("answer is longer than %d bytes", s.maxResponseBytes)
	}
	if err != nil {
		return nil, failure.Wrap(failure.OutcomeUnknown, "read answer", instance.Name, err).WithRan(failure.RanYes)
	}
	return &requests.Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Endpoint: instance.Name}, nil
}

// newRequest returns the HTTP request for a call to an instance.
func newRequest(ctx context.Context, c *requests.Call, instance *catalog.Member) (*http.Request, error) {
	url := instance.URL + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Header.Set(engine.RequestIDHeader, c.RequestID)
	return req, nil
}

// sendFailure returns the failure for a call that could not be sent or got no
// response. Only a failed dial proves that no byte was sent; after any other error
// the call may have been executed.
func sendFailure(name string, err error) *failure.Error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failure.Wrap(failure.EndpointFailed, "call service", name, err).WithRetry(time.Second)
	}
	return failure.Wrap(failure.OutcomeUnknown, "call service", name, err).WithRan(failure.RanUnknown)
}
