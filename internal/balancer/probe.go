package balancer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/sse"
)

// Parameters of a probe.
const (
	probeTokens   = 8                    // maximum tokens to generate
	probeTimeout  = 5 * time.Second      // bound on the whole probe
	probePriority = 1                    // runs after all requests of callers, whose values are 0 or less
	probeContent  = `"Say a few words."` // JSON content of the user message
)

// probe checks an ejected endpoint with a short generation that belongs to no
// caller, so that no caller waits for an endpoint that may still be slow. For a
// plain service, only the load report is read.
func (b *Balancer) probe(ctx context.Context, m *catalog.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !b.refreshReport(ctx, m) {
		b.handleProbeResult(m, 0, fmt.Errorf("probe endpoint %s: load report could not be read", m.Name))
		return
	}
	if len(m.Models) == 0 {
		b.handleProbeResult(m, 0, nil)
		return
	}
	gap, err := b.probeModel(ctx, m)
	b.handleProbeResult(m, gap, err)
}

// probeModel runs a short generation on the endpoint's first model and returns
// the mean gap between its tokens.
func (b *Balancer) probeModel(ctx context.Context, m *catalog.Member) (time.Duration, error) {
	body, err := json.Marshal(engine.ChatRequest{
		Model:               m.Models[0],
		Messages:            []engine.Message{{Role: "user", Content: json.RawMessage(probeContent)}},
		MaxTokens:           probeTokens,
		Stream:              true,
		Priority:            probePriority,
		AddGenerationPrompt: true,
	})
	if err != nil {
		return 0, fmt.Errorf("encode probe request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.URL+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("create probe request: %w", err)
	}
	req.Header.Set(engine.RequestIDHeader, "probe-"+uuid.NewString())
	// An idle connection may no longer respond, or give the response to an earlier request.
	resp, err := b.newConnClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send probe request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("probe: unexpected status %d", resp.StatusCode)
	}
	return b.timeProbe(sse.NewReader(resp.Body, maxReportBytes))
}

// timeProbe reads a probe's stream up to its end marker and returns the mean
// time between its tokens, measured from the first event.
func (b *Balancer) timeProbe(events *sse.Reader) (time.Duration, error) {
	var firstEvent time.Time
	for n := 0; ; n++ {
		data, err := events.Next()
		if err != nil {
			return 0, fmt.Errorf("read probe response: %w", err)
		}
		if n == 0 {
			firstEvent = b.deps.Clock.Now()
		}
		if string(data) == engine.StreamEndMarker {
			return b.elapsedSince(firstEvent) / time.Duration(max(n-2, 1)), nil
		}
	}
}
