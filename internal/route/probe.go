package route

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

// Sizes of a probe.
const (
	probeTokens   = 8
	probeTimeout  = 5 * time.Second
	probePriority = 1
	probeContent  = `"Say a few words."`
)

// probe tries an ejected endpoint with a short generation of the router's
// own, so that no caller waits for an endpoint that may still be slow. A plain
// service is only asked for its load report.
func (r *Router) probe(ctx context.Context, m *catalog.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !r.refreshReport(ctx, m) {
		r.handleProbeResult(m, 0, fmt.Errorf("probe %s: no load report", m.Name))
		return
	}
	if len(m.Models) == 0 {
		r.handleProbeResult(m, 0, nil)
		return
	}
	gap, err := r.probeModel(ctx, m)
	r.handleProbeResult(m, gap, err)
}

// probeModel returns the mean gap between the tokens of a short generation.
func (r *Router) probeModel(ctx context.Context, m *catalog.Member) (time.Duration, error) {
	body, err := json.Marshal(engine.ChatRequest{
		Model:               m.Models[0],
		Messages:            []engine.Message{{Role: "user", Content: json.RawMessage(probeContent)}},
		MaxTokens:           probeTokens,
		Stream:              true,
		Priority:            probePriority,
		AddGenerationPrompt: true,
	})
	if err != nil {
		return 0, fmt.Errorf("encode probe: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.URL+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("make probe: %w", err)
	}
	req.Header.Set(engine.RequestIDHeader, "probe-"+uuid.NewString())
	req.Close = true // a fresh connection: an old one may be silent
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send probe: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("probe: status %d", resp.StatusCode)
	}
	return r.timeProbe(sse.NewReader(resp.Body, maxReportBytes))
}

// timeProbe reads a probe's stream to its end marker.
func (r *Router) timeProbe(events *sse.Reader) (time.Duration, error) {
	var firstEvent time.Time
	for n := 0; ; n++ {
		data, err := events.Next()
		if err != nil {
			return 0, fmt.Errorf("read probe: %w", err)
		}
		if n == 0 {
			firstEvent = r.deps.Clock.Now()
		}
		if string(data) == engine.EndOfStream {
			return r.elapsedSince(firstEvent) / time.Duration(max(n-2, 1)), nil
		}
	}
}
