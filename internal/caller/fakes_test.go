package caller

import (
	"io"
	"net/http/httptest"
	"time"
)

// newSilentBody returns a body whose reads block until the closer is closed.
func newSilentBody() (io.Reader, io.Closer) {
	reader, writer := io.Pipe()
	return reader, writer
}

// deadlineRecorder is a response recorder that accepts read deadlines and ignores
// them.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline implements the method that http.ResponseController calls.
func (*deadlineRecorder) SetReadDeadline(time.Time) error { return nil }
