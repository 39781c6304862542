package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Limits of the log of a process under load.
const (
	// queueLines is the number of lines that the queue holds while the writer is
	// slow.
	queueLines = 4096
	// messageLinesPerSecond and messageBurstLines are the rate and the burst of
	// the token bucket of each message text. Lines beyond them are dropped and
	// counted.
	messageLinesPerSecond = 200
	messageBurstLines     = 400
	// reportInterval is the interval at which the number of dropped lines is
	// logged.
	reportInterval = time.Second
	// maxMessages is the maximum number of message texts that have their own
	// token bucket. All further ones share a bucket.
	maxMessages = 256
)

// BoundedHandler is a slog.Handler that writes JSON lines in a goroutine, so that
// Handle never blocks on a slow reader of the log. Lines that exceed the rate of
// their message text, or that find the queue full, are dropped. The numbers of
// dropped lines are logged once a second.
type BoundedHandler struct {
	slog.Handler
	queue *queue
}

// NewBoundedHandler returns a handler that writes lines of at least level to w.
// The caller must call Close once.
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

// Close writes the queued lines and stops the handler. It returns after timeout
// even if lines are still queued.
func (b *BoundedHandler) Close(timeout time.Duration) {
	close(b.queue.stop)
	select {
	case <-b.queue.done:
	case <-time.After(timeout):
	}
}

// messageRate is the token bucket of one message text. tokens is the number of
// lines that could be written at the time refilledAt.
type messageRate struct {
	tokens     float64
	refilledAt time.Time
}

// queue holds encoded lines until its goroutine has written them. It implements
// io.Writer for the JSON handler.
type queue struct {
	out   io.Writer
	lines chan []byte
	stop  chan struct{} // closed by Close
	done  chan struct{} // closed when run returns

	mu      sync.Mutex              // guards rates and dropped
	rates   map[string]*messageRate // by message text
	dropped map[string]int          // lines since the last report, by message text
}

// otherMessages takes the place of a message text in two cases: for the messages
// beyond maxMessages, which share a bucket, and to count the lines that were dropped
// because the queue was full.
const otherMessages = "(other)"

// allow takes a token from the bucket of the message. If there is none, it counts
// a dropped line and returns false.
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

// Write queues a copy of one complete line, or counts it as dropped if the queue
// is full. It never fails.
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

// run writes queued lines and reports dropped ones until stop is closed. It then
// writes the lines that are still queued.
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

// write writes a line. An error is ignored, because there is no other place to
// report it than the log that cannot be written.
func (q *queue) write(line []byte) { _, _ = q.out.Write(line) }

// report writes a line with the numbers of lines that were dropped since the last
// report, by message text, unless there are none. It bypasses the queue, which may
// be full.
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
