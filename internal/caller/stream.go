package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/engine"
)

// streamWriter writes server-sent events to a caller. Each write is bounded by the
// timeout. It is not safe for concurrent use.
type streamWriter struct {
	response      *echo.Response
	controller    *http.ResponseController
	timeout       time.Duration
	created       int64 // Unix seconds
	headerWritten bool
	buffer        []byte
}

// newStreamWriter returns a writer that sends nothing until the first event.
func newStreamWriter(c echo.Context, timeout time.Duration) *streamWriter {
	return &streamWriter{
		response:   c.Response(),
		controller: http.NewResponseController(c.Response()),
		timeout:    timeout,
		created:    time.Now().Unix(),
	}
}

// writeChunk writes one chunk of the response.
func (w *streamWriter) writeChunk(chunk engine.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	return w.writeEvent(data)
}

// writeEnd writes the end marker of a complete stream.
func (w *streamWriter) writeEnd() error { return w.writeEvent([]byte(engine.StreamEndMarker)) }

// writeFailure writes a failure as the last event. A write error is ignored: the
// stream has failed already, and the caller may have disconnected.
func (w *streamWriter) writeFailure(requestID string, f *failure.Error) {
	_ = w.writeEvent(encodeErrorBody(requestID, f))
}

// writeEvent writes and flushes one event within the timeout.
func (w *streamWriter) writeEvent(data []byte) error {
	w.writeHeader()
	w.buffer = append(w.buffer[:0], "data: "...)
	w.buffer = append(w.buffer, data...)
	w.buffer = append(w.buffer, "\n\n"...)
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return fmt.Errorf("bound write: %w", err)
	}
	if _, err := w.response.Write(w.buffer); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// writeHeader writes the response header of the stream before the first event.
func (w *streamWriter) writeHeader() {
	if w.headerWritten {
		return
	}
	w.headerWritten = true
	header := w.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(headerRan, string(failure.RanYes))
	w.response.WriteHeader(http.StatusOK)
}
