package caller

import (
	"io"
	"net/http/httptest"
	"time"
)

// newSilentBody returns a body that sends nothing until it is closed.
func newSilentBody() (io.Reader, io.Closer) {
	reader, writer := io.Pipe()
	return reader, writer
}

// deadlineRecorder is a recorder that takes deadlines and ignores them.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline implements the method that http.ResponseController calls.
func (*deadlineRecorder) SetReadDeadline(time.Time) error { return nil }
