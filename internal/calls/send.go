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
	"daisyslip.dev/daisyslip/internal/work"
)

// idleTimeout bounds the time that an idle connection is kept.
const idleTimeout = 15 * time.Second

// ranHeader is the header by which a service says, with "no", that it did not
// run a call that it refused.
const ranHeader = "Daisyslip-Ran"

// sender sends calls to instances. A call that is not idempotent gets a
// connection of its own, for two reasons: a connection that was idle may be
// silent for good, and the HTTP client sends a request with an
// Idempotency-Key a second time by itself if a reused connection breaks.
type sender struct {
	maxAnswer int64
	pooled    *http.Client
	fresh     *http.Client
}

func newSender(s Settings) *sender {
	return &sender{maxAnswer: s.MaxResponseBytes, pooled: newClient(s, false), fresh: newClient(s, true)}
}

func newClient(s Settings, fresh bool) *http.Client {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		IdleConnTimeout:   idleTimeout,
		DisableKeepAlives: fresh,
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// refuseRedirect keeps a redirect from sending a call a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (s *sender) close() {
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// send sends the call to one instance. The failure's Ran is RanNo only if no
// byte has left, or the instance says that it did not run the call.
func (s *sender) send(ctx context.Context, c *work.Call, to *catalog.Member) (*work.Response, *failure.Error) {
	req, err := newRequest(ctx, c, to)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, "make call", to.Name, err)
	}
	client := s.fresh
	if c.Idempotent {
		client = s.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, sendFailure(to.Name, err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(ranHeader) == string(failure.RanNo) && resp.StatusCode >= http.StatusBadRequest {
		return nil, failure.New(failure.EndpointFailed, "call service", to.Name,
			fmt.Sprintf("status %d: the instance refused the call and did not run it", resp.StatusCode)).WithRetry(time.Second)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.maxAnswer+1))
	if err == nil && int64(len(body)) > s.maxAnswer {
		err = fmt.Errorf("answer is longer than %d bytes", s.maxAnswer)
	}
	if err != nil {
		return nil, failure.Wrap(failure.OutcomeUnknown, "read answer", to.Name, err).WithRan(failure.RanYes)
	}
	return &work.Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Endpoint: to.Name}, nil
}

func newRequest(ctx context.Context, c *work.Call, to *catalog.Member) (*http.Request, error) {
	url := to.URL + c.Path
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

// sendFailure tells whether a call may have run when sending it failed: only
// a connection that was never made proves that no byte has left.
func sendFailure(name string, err error) *failure.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Wrap(failure.EndpointFailed, "call service", name, err).WithRetry(time.Second)
	}
	return failure.Wrap(failure.OutcomeUnknown, "call service", name, err).WithRan(failure.RanUnknown)
}
