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

// buffer is a writer that a test reads while lines are written.
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

// TestFloodIsBounded: a message over its rate is counted, others pass.
func TestFloodIsBounded(t *testing.T) {
	var out buffer
	h := logs.NewBounded(&out, slog.LevelInfo)
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

// stuck is a reader of the log that stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStoppedReaderBlocksNobody: lines beyond the queue are dropped.
func TestStoppedReaderBlocksNobody(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	h := logs.NewBounded(s, slog.LevelInfo)
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

func BenchmarkLine(b *testing.B) {
	h := logs.NewBounded(io.Discard, slog.LevelInfo)
	defer h.Close(time.Second)
	log := logs.WithPrefix(slog.New(h), "ingress")
	b.ReportAllocs()
	for i := range b.N {
		log.Info(fmt.Sprint("request placed ", i%200), "request", "9c41d07be2a35f68", "endpoint", "i-7f3a91c2", "load", 3.0, "candidates", 9)
	}
}
