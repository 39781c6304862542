package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/logs"
)

// syncBuffer collects what is written to it. It is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestRepeatedMessageIsRateLimited guards against a repeated message that floods
// the log: of 10,000 lines, most must be dropped and reported, and a different
// message must still be written.
func TestRepeatedMessageIsRateLimited(t *testing.T) {
	var out syncBuffer
	h := logs.NewBoundedHandler(&out, slog.LevelInfo)
	log := logs.WithPrefix(slog.New(h), "ingress")
	for i := range 10_000 {
		log.Info("request placed", "request", i)
	}
	log.Info("drain starts")
	h.Close(5 * time.Second)
	lines := strings.Count(out.String(), "request placed\"")
	assert.Assert(t, lines >= 400 && lines < 1000, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), "drain starts"))
	assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
}

// blockedWriter is a writer that blocks until release is closed, like a pipe whose
// reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedWriterDoesNotBlockLogging guards against a router that hangs because
// nobody reads its log: it logs more lines than the queue holds while the writer
// blocks, and logging must not wait for the writer.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	writer := blockedWriter{release: make(chan struct{})}
	h := logs.NewBoundedHandler(writer, slog.LevelInfo)
	log := slog.New(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			log.Info(fmt.Sprint("message ", i%100))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a log line blocked")
	}
	close(writer.release)
	h.Close(5 * time.Second)
}

func BenchmarkBoundedHandler(b *testing.B) {
	h := logs.NewBoundedHandler(io.Discard, slog.LevelInfo)
	defer h.Close(time.Second)
	log := logs.WithPrefix(slog.New(h), "ingress")
	b.ReportAllocs()
	for i := range b.N {
		log.Info(fmt.Sprint("request placed ", i%200), "request", "9c41d07be2a35f68", "endpoint", "i-7f3a91c2", "load", 3.0, "candidates", 9)
	}
}
