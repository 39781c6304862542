// Package load sends chat completions to routers or engines and measures what
// a caller sees: time to the first token, gaps between tokens, whole time.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Target is where requests go.
type Target struct {
	Name string `json:"name"`
	// URL is the base URL of a router or an engine.
	URL string `json:"url"`
	// Key is the workspace's key; engines need none.
	Key string `json:"-"`
}

// Options describe the load.
type Options struct {
	Targets []Target
	Model   string
	// Streams is the number of requests in flight, over all targets.
	Streams int
	// Requests ends the load after this many requests; 0 is no bound.
	Requests int64
	// Duration ends the load; requests in flight are finished.
	Duration time.Duration
	// Rate is the number of requests started a second, over all streams; 0
	// starts the next when the last has ended.
	Rate float64
	// MaxTokens bounds each answer, and PromptWords is the size of a prompt.
	MaxTokens   int
	PromptWords int
	// SharedWords is how many words the prompts of one group share at their
	// start, and Groups the number of groups.
	SharedPrefixWords int
	PromptGroups      int
	// Seed makes the prompts repeatable.
	Seed uint64
	// Deadline is sent with each request; 0 sends none.
	Deadline time.Duration
	// Priority is sent with each request; empty sends none.
	Priority string
	// OneTarget sends each prompt to one target, in turn, and not to all.
	OneTargetPerPrompt bool
	// Observe is told of each request as it ends; nil is nobody. It is called
	// by several goroutines at once.
	Observe func(Observation)
}

// Observation is what a caller saw of one request.
type Observation struct {
	Target Target
	// Began and Ended bound the request.
	StartedAt, EndedAt time.Time
	// First is the time to the first token; 0 means that none came.
	FirstToken time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	Tokens     int64
	// Failure is why the answer is not whole, or empty.
	Failure string
}

// DefaultOptions returns a light load.
func DefaultOptions() Options {
	return Options{
		Streams:           20,
		Duration:          10 * time.Second,
		MaxTokens:         32,
		PromptWords:       64,
		SharedPrefixWords: 32,
		PromptGroups:      8,
		Seed:              1,
	}
}

// Validate adds every problem of the options to l.
func (o Options) Validate(l *check.List) {
	if len(o.Targets) == 0 {
		l.Add("target", "", "one target or more")
	}
	for _, t := range o.Targets {
		l.URL("target", t.URL)
	}
	l.Required("model", o.Model)
	l.Positive("streams", int64(o.Streams))
	l.Positive("max-tokens", int64(o.MaxTokens))
	l.Positive("prompt-words", int64(o.PromptWords))
	l.Positive("groups", int64(o.PromptGroups))
	l.Duration("duration", o.Duration, time.Millisecond, 24*time.Hour)
	if o.Rate < 0 {
		l.Add("rate", o.Rate, "0 or more requests a second")
	}
	if o.SharedPrefixWords > o.PromptWords {
		l.Add("shared-words", o.SharedPrefixWords, "at most prompt-words")
	}
}

// runner is a load in progress.
type runner struct {
	options Options
	client  *http.Client
	results []*Result
	starts  chan int64
}

// Run sends the load and returns one result a target. Each stream sends a
// prompt to one target after the other, in an order that turns, so that all
// meet the same prompts under the same conditions.
func Run(ctx context.Context, o Options) ([]*Result, error) {
	var problems check.List
	o.Validate(&problems)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("load options:\n%w", err)
	}
	r := &runner{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Streams, DisableCompression: true}},
		starts:  make(chan int64),
	}
	defer r.client.CloseIdleConnections()
	for _, target := range o.Targets {
		r.results = append(r.results, newResult(target))
	}
	began := time.Now()
	r.run(ctx)
	for _, result := range r.results {
		result.finish(time.Since(began))
	}
	return r.results, nil
}

func (r *runner) run(ctx context.Context) {
	var streams sync.WaitGroup
	for i := range r.options.Streams {
		streams.Go(func() { r.stream(ctx, i) })
	}
	feed, stop := context.WithTimeout(ctx, r.options.Duration)
	defer stop()
	r.feed(feed)
	close(r.starts)
	streams.Wait()
}

// feed numbers the requests and paces their starts.
func (r *runner) feed(ctx context.Context) {
	next := time.Now()
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	for n := int64(0); r.options.Requests == 0 || n < r.options.Requests; n++ {
		if r.options.Rate > 0 {
			next = next.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
			if !sleepUntil(ctx, next) {
				return
			}
		}
		select {
		case r.starts <- n:
		case <-ctx.Done():
			return
		}
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream sends the requests that feed numbers, one after another.
func (r *runner) stream(ctx context.Context, i int) {
	turn := i
	for n := range r.starts {
		for j := range r.results {
			r.send(ctx, r.results[(turn+j)%len(r.results)], n)
			if r.options.OneTargetPerPrompt {
				break
			}
		}
		turn++
	}
}

// prompt returns the text of the n-th prompt.
func (o Options) prompt(n int64) string {
	group := rand.New(rand.NewPCG(o.Seed, uint64(n%int64(o.PromptGroups))+1))
	own := rand.New(rand.NewPCG(o.Seed, uint64(n)+1<<32))
	words := make([]string, 0, o.PromptWords)
	for i := range o.PromptWords {
		source := own
		if i < o.SharedPrefixWords {
			source = group
		}
		words = append(words, fmt.Sprintf("log%05d", source.IntN(100000)))
	}
	return strings.Join(words, " ")
}
