package ingress_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/ingress"
)

// panickingCodec panics on every request.
type panickingCodec struct{ exchange.Codec }

func (panickingCodec) DecodeRequest(http.Header) (exchange.Request, error) { panic("odd request") }

func (panickingCodec) SetRequestID(http.Header, string) {}

// TestPanicEndsWithoutResponse guards against a caller that gets neither a response nor a
// refusal, and against a log without the cause, if the handler panics.
func TestPanicEndsWithoutResponse(t *testing.T) {
	var log bytes.Buffer
	handler := ingress.NewHandler(ingress.DefaultSettings(), ingress.Dependencies{
		Codec: panickingCodec{}, Clock: clock.Real{}, Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: metrics.NewSet(),
	})
	defer handler.Close()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/switch/1", nil))
	assert.Equal(t, recorder.Code, http.StatusBadGateway)
	assert.Assert(t, bytes.Contains(log.Bytes(), []byte("odd request")))
}
