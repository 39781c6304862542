package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Bounds of the log of a process under load.
const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 4096
	// linesPerSecond and burstLines bound the lines of one message; those over
	// it are counted.
	messageLinesPerSecond = 200
	messageBurstLines     = 400
	// reportEvery is the interval of saying how many lines were dropped.
	reportInterval = time.Second
	// maxKinds bounds the messages that are counted apart.
	maxMessages = 256
)

// Bounded writes JSON lines off the path of the caller. A line that finds no
// room is dropped and counted by its message; Handle never blocks on the reader
// of the log.
type BoundedHandler struct {
	slog.Handler
	queue *queue
}

// NewBounded returns a handler that writes lines of at least level to w until
// Close.
func NewBoundedHandler(w io.Writer, level slog.Level) *BoundedHandler {
	q := &queue{out: w, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		rates: make(map[string]*messageRate), dropped: make(map[string]int)}
	go q.run()
	return &BoundedHandler{Handler: slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level}), queue: q}
}

// Handle implements slog.Handler.
func (b *BoundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !b.queue.allow(r.Message, time.Now()) {
		return nil
	}
	return b.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *BoundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &BoundedHandler{Handler: b.Handler.WithAttrs(attrs), queue: b.queue}
}

// WithGroup implements slog.Handler.
func (b *BoundedHandler) WithGroup(name string) slog.Handler {
	return &BoundedHandler{Handler: b.Handler.WithGroup(name), queue: b.queue}
}

// Close writes the lines that wait, for at most timeout.
func (b *BoundedHandler) Close(timeout time.Duration) {
	close(b.queue.stop)
	select {
	case <-b.queue.done:
	case <-time.After(timeout):
	}
}

// kind is the allowance of one message.
type messageRate struct {
	tokens     float64
	refilledAt time.Time
}

type queue struct {
	out   io.Writer
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}

	mu      sync.Mutex // guards kinds and dropped
	rates   map[string]*messageRate
	dropped map[string]int
}

// overflow is the name under which lines are counted that found the queue full
// or whose message is one of too many.
const otherMessages = "(other)"

func (q *queue) allow(message string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate := q.rates[message]
	if rate == nil {
		if len(q.rates) >= maxMessages {
			message = otherMessages
		}
		if rate = q.rates[message]; rate == nil {
			rate = &messageRate{tokens: messageBurstLines, refilledAt: now}
			q.rates[message] = rate
		}
	}
	rate.tokens = min(messageBurstLines, rate.tokens+max(now.Sub(rate.refilledAt).Seconds(), 0)*messageLinesPerSecond)
	rate.refilledAt = now
	if rate.tokens < 1 {
		q.dropped[message]++
		return false
	}
	rate.tokens--
	return true
}

// Write takes a whole line.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.mu.Lock()
		q.dropped[otherMessages]++
		q.mu.Unlock()
	}
	return len(line), nil
}

func (q *queue) run() {
	defer close(q.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-report.C:
			q.report()
		case <-q.stop:
			q.report()
			for {
				select {
				case line := <-q.lines:
					q.write(line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line. There is nowhere to report that the log cannot be
// written, so the error is dropped.
func (q *queue) write(line []byte) { _, _ = q.out.Write(line) }

func (q *queue) report() {
	q.mu.Lock()
	dropped := q.dropped
	q.dropped = make(map[string]int)
	q.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	record := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
	for message, n := range dropped {
		record.Add(message, n)
	}
	if err := slog.NewJSONHandler(q.out, nil).Handle(context.Background(), record); err != nil {
		q.write([]byte(fmt.Sprintf("{\"msg\":\"report of dropped lines failed: %v\"}\n", err)))
	}
}
