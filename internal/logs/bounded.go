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
	linesPerSecond = 200
	burstLines     = 400
	// reportEvery is the interval of saying how many lines were dropped.
	reportEvery = time.Second
	// maxKinds bounds the messages that are counted apart.
	maxKinds = 256
)

// Bounded writes JSON lines off the path of the caller. A line that finds no
// room is dropped and counted by its message; Handle never blocks on the reader
// of the log.
type Bounded struct {
	slog.Handler
	queue *queue
}

// NewBounded returns a handler that writes lines of at least level to w until
// Close.
func NewBounded(w io.Writer, level slog.Level) *Bounded {
	q := &queue{out: w, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		kinds: make(map[string]*kind), dropped: make(map[string]int)}
	go q.run()
	return &Bounded{Handler: slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level}), queue: q}
}

// Handle implements slog.Handler.
func (b *Bounded) Handle(ctx context.Context, r slog.Record) error {
	if !b.queue.allow(r.Message, time.Now()) {
		return nil
	}
	return b.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *Bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Bounded{Handler: b.Handler.WithAttrs(attrs), queue: b.queue}
}

// WithGroup implements slog.Handler.
func (b *Bounded) WithGroup(name string) slog.Handler {
	return &Bounded{Handler: b.Handler.WithGroup(name), queue: b.queue}
}

// Close writes the lines that wait, for at most timeout.
func (b *Bounded) Close(timeout time.Duration) {
	close(b.queue.stop)
	select {
	case <-b.queue.done:
	case <-time.After(timeout):
	}
}

// kind is the allowance of one message.
type kind struct {
	tokens float64
	at     time.Time
}

type queue struct {
	out   io.Writer
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}

	mu      sync.Mutex // guards kinds and dropped
	kinds   map[string]*kind
	dropped map[string]int
}

// overflow is the name under which lines are counted that found the queue full
// or whose message is one of too many.
const overflow = "(other)"

func (q *queue) allow(message string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kinds[message]
	if k == nil {
		if len(q.kinds) >= maxKinds {
			message = overflow
		}
		if k = q.kinds[message]; k == nil {
			k = &kind{tokens: burstLines, at: now}
			q.kinds[message] = k
		}
	}
	k.tokens = min(burstLines, k.tokens+max(now.Sub(k.at).Seconds(), 0)*linesPerSecond)
	k.at = now
	if k.tokens < 1 {
		q.dropped[message]++
		return false
	}
	k.tokens--
	return true
}

// Write takes a whole line.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.mu.Lock()
		q.dropped[overflow]++
		q.mu.Unlock()
	}
	return len(line), nil
}

func (q *queue) run() {
	defer close(q.done)
	report := time.NewTicker(reportEvery)
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
