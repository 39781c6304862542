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

// buffer is a buffer that is safe for concurrent writes and reads.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestRepeatedMessageIsRateLimited logs one message 10,000 times. Most of the
// lines must be dropped and reported, and a different message must still be
// written.
func TestRepeatedMessageIsRateLimited(t *testing.T) {
	var out buffer
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

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedWriterDoesNotBlockLogging logs more lines than the queue holds while
// the writer blocks. Logging must not wait for the writer.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	s := blockedWriter{release: make(chan struct{})}
	h := logs.NewBoundedHandler(s, slog.LevelInfo)
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
	close(s.release)
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
