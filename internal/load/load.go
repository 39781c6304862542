// Package load sends chat completions to routers or engines and measures what a caller
// observes: the time to the first token, the gaps between tokens and the response time.
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

// Target is a router or an engine that requests are sent to.
type Target struct {
	Name string `json:"name"`
	// URL is the base URL.
	URL string `json:"url"`
	// Key is the access key of the workspace. Engines need none.
	Key string `json:"-"`
}

// Options describe the load.
type Options struct {
	Targets []Target
	Model   string
	// Streams is the number of requests in flight over all targets.
	Streams int
	// Requests is the number of prompts after which the load ends. 0 is no limit.
	Requests int64
	// Duration is the time after which no more requests start. Those in flight
	// complete.
	Duration time.Duration
	// Rate is the mean number of prompts started per second over all streams, with
	// random times between them. 0 starts the next one of a stream when the
	// previous one has ended.
	Rate float64
	// MaxTokens is the largest number of tokens of a response, and PromptWords the
	// number of words of a prompt.
	MaxTokens   int
	PromptWords int
	// SharedPrefixWords is the number of words at the start of a prompt that all
	// prompts of its group share. PromptGroups is the number of groups.
	SharedPrefixWords int
	PromptGroups      int
	// Seed determines the prompts and the times between them.
	Seed uint64
	// Deadline is the deadline that each request carries. 0 sends none.
	Deadline time.Duration
	// Priority is the priority that each request carries. Empty sends none.
	Priority string
	// OneTargetPerPrompt sends each prompt to one of the targets, in rotation,
	// instead of to all of them.
	OneTargetPerPrompt bool
	// Observe is called at the end of each request, unless it is nil. Several
	// goroutines call it concurrently.
	Observe func(Observation)
}

// Observation is what a caller observed of one request.
type Observation struct {
	Target Target
	// StartedAt and EndedAt are when the request was sent and when its response
	// ended.
	StartedAt, EndedAt time.Time
	// FirstToken is the time to the first token. It is 0 if no token arrived.
	FirstToken time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	Tokens     int64
	// Failure is why the response is not complete, in a few words. It is empty if
	// it is complete.
	Failure string
}

// DefaultOptions returns a light load without targets and without a model.
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

// Validate adds every problem of the options to l, by the name of the command-line flag.
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

// runner sends one load.
type runner struct {
	options       Options
	client        *http.Client
	results       []*Result
	promptNumbers chan int64
}

// Run sends the load and returns one result per target. Each stream sends a prompt to
// all targets, one after another, and starts with another target each time, so that all
// targets receive the same prompts under the same conditions. It returns an error only
// for invalid options.
func Run(ctx context.Context, o Options) ([]*Result, error) {
	var problems check.List
	o.Validate(&problems)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("load options:\n%w", err)
	}
	r := &runner{
		options:       o,
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Streams, DisableCompression: true}},
		promptNumbers: make(chan int64),
	}
	defer r.client.CloseIdleConnections()
	for _, target := range o.Targets {
		r.results = append(r.results, newResult(target))
	}
	startedAt := time.Now()
	r.run(ctx)
	for _, result := range r.results {
		result.setElapsed(time.Since(startedAt))
	}
	return r.results, nil
}

// run starts the streams and returns when all of them have ended.
func (r *runner) run(ctx context.Context) {
	var streams sync.WaitGroup
	for i := range r.options.Streams {
		streams.Go(func() { r.runStream(ctx, i) })
	}
	startCtx, stop := context.WithTimeout(ctx, r.options.Duration)
	defer stop()
	r.paceRequests(startCtx)
	close(r.promptNumbers)
	streams.Wait()
}

// paceRequests sends the numbers of the prompts, from 0, to the streams at the rate of
// the options, until ctx ends or Options.Requests is reached.
func (r *runner) paceRequests(ctx context.Context) {
	nextStart := time.Now()
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	for n := int64(0); r.options.Requests == 0 || n < r.options.Requests; n++ {
		if r.options.Rate > 0 {
			nextStart = nextStart.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
			if !sleepUntil(ctx, nextStart) {
				return
			}
		}
		select {
		case r.promptNumbers <- n:
		case <-ctx.Done():
			return
		}
	}
}

// sleepUntil sleeps until t. It returns false if ctx ends first.
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

// runStream sends the prompts whose numbers it receives from paceRequests, one after
// another.
func (r *runner) runStream(ctx context.Context, streamIndex int) {
	offset := streamIndex
	for n := range r.promptNumbers {
		for j := range r.results {
			r.sendRequest(ctx, r.results[(offset+j)%len(r.results)], n)
			if r.options.OneTargetPerPrompt {
				break
			}
		}
		offset++
	}
}

// prompt returns the text of prompt n, which depends only on n and the options.
func (o Options) prompt(n int64) string {
	groupWords := rand.New(rand.NewPCG(o.Seed, uint64(n%int64(o.PromptGroups))+1))
	uniqueWords := rand.New(rand.NewPCG(o.Seed, uint64(n)+1<<32))
	words := make([]string, 0, o.PromptWords)
	for i := range o.PromptWords {
		source := uniqueWords
		if i < o.SharedPrefixWords {
			source = groupWords
		}
		words = append(words, fmt.Sprintf("log%05d", source.IntN(100000)))
	}
	return strings.Join(words, " ")
}
