package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/requests"
)

// serverMetrics are the metrics of the caller API.
type serverMetrics struct {
	set              *metrics.Set
	responses        *metrics.Counter
	promptTokens     *metrics.Counter
	completionTokens *metrics.Counter
	overrunTokens    *metrics.Counter
	firstPiece       *metrics.Histogram
	pieceGap         *metrics.Histogram
}

// newServerMetrics registers the metrics in set.
func newServerMetrics(set *metrics.Set) *serverMetrics {
	return &serverMetrics{
		set:              set,
		responses:        set.NewCounter("daisyslip_caller_answers_total"),
		promptTokens:     set.NewCounter("daisyslip_caller_prompt_tokens_total"),
		completionTokens: set.NewCounter("daisyslip_caller_completion_tokens_total"),
		overrunTokens:    set.NewCounter("daisyslip_caller_overrun_tokens_total"),
		firstPiece:       set.NewHistogram("daisyslip_caller_first_piece_seconds"),
		pieceGap:         set.NewHistogram("daisyslip_caller_piece_gap_seconds"),
	}
}

// countResponse counts a complete response and its tokens.
func (m *serverMetrics) countResponse(u requests.Usage) {
	m.responses.Inc()
	m.promptTokens.Add(int(u.PromptTokens))
	m.completionTokens.Add(int(u.CompletionTokens))
}

// countFailure counts a failure by its code. Codes are a fixed set, so the number
// of series is bounded.
func (m *serverMetrics) countFailure(code failure.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_caller_failures_total{code=%q}", code)).Inc()
}
