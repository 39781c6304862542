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

// streamWriter writes server-sent events, each within the write time-out.
type streamWriter struct {
	response      *echo.Response
	controller    *http.ResponseController
	timeout       time.Duration
	created       int64 // Unix seconds
	headerWritten bool
	buffer        []byte
}

func newStreamWriter(c echo.Context, timeout time.Duration) *streamWriter {
	return &streamWriter{
		response:   c.Response(),
		controller: http.NewResponseController(c.Response()),
		timeout:    timeout,
		created:    time.Now().Unix(),
	}
}

// chunk writes one chunk of the answer.
func (w *streamWriter) writeChunk(chunk engine.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	return w.writeEvent(data)
}

// done writes the end marker.
func (w *streamWriter) writeEnd() error { return w.writeEvent([]byte(engine.EndOfStream)) }

// failure writes a failure as the last event. The caller may have gone, so
// that its error says nothing new.
func (w *streamWriter) writeFailure(requestID string, f *failure.Error) {
	_ = w.writeEvent(encodeErrorBody(requestID, f))
}

// event writes and flushes one event.
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

// start writes the header of a stream once.
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
