package siteexperiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// Report contains what endpoints and callers saw.
type Report struct {
	Name   string  `json:"name"`
	Seed   uint64  `json:"seed"`
	Totals Point   `json:"totals"`
	Series []Point `json:"series"`
	// LateCrashRequests is the number of requests with the crashing segment that
	// endpoints received later than contactTime after the fifth crash.
	LateCrashRequests int `json:"late_crash_requests"`
	// BusiestWindow is the largest number of requests that an endpoint with a rate
	// limit received in a span of limitWindow, from contactTime after the start.
	BusiestWindow int `json:"busiest_window"`
}

// Point contains the counts of one second. Requests count in the second in which they
// end, at callers, or arrive, at endpoints.
type Point struct {
	Second int `json:"second"`
	// SoundServed and SoundFailed are sound requests with and without a complete
	// response.
	SoundServed int `json:"sound_served"`
	SoundFailed int `json:"sound_failed"`
	// CrashRefused is the number of requests with the crashing segment that a router
	// refused.
	CrashRefused int `json:"crash_refused"`
	Crashes      int `json:"crashes"`
	// Limited is the number of requests at all endpoints with a rate limit.
	Limited int `json:"limited"`
}

// contactTime is the time within which routers act on what one of them knows, and
// limitWindow the span in which requests to an endpoint with a limit are counted.
const (
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
)

// maxInFlight bounds the requests that are under way at the same time.
const maxInFlight = 512

// subjects is the number of segments that sound prompts have in common with some others.
const subjects = 40

// runner sends the load of a scenario.
type runner struct {
	fleet     *fleet
	client    *http.Client
	startedAt time.Time
	slots     chan struct{}
	sending   sync.WaitGroup

	mu     sync.Mutex // guards all below
	ids    int
	points []Point
}

// Run plays a scenario.
func Run(ctx context.Context, s Scenario, log *slog.Logger) (report Report, err error) {
	f, err := startFleet(ctx, s, log)
	defer func() { err = errors.Join(err, f.close()) }()
	if err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	defer transport.CloseIdleConnections()
	r := &runner{
		fleet: f, client: &http.Client{Transport: transport}, startedAt: time.Now(),
		slots: make(chan struct{}, maxInFlight), points: make([]Point, int(s.Duration/time.Second)+1),
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	if s.RestartEvery > 0 && s.Routers > 1 {
		f.running.Go(func() { f.restartRouters(loadCtx) })
	}
	r.load(ctx, s)
	r.sending.Wait()
	stop()
	return r.report(s), ctx.Err()
}

// load sends requests until the duration of the scenario or ctx ends.
func (r *runner) load(ctx context.Context, s Scenario) {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	sound := time.NewTicker(time.Second / time.Duration(s.Rate))
	defer sound.Stop()
	var crash <-chan time.Time
	if s.Crash.Every > 0 {
		ticker := time.NewTicker(s.Crash.Every)
		defer ticker.Stop()
		crash = ticker.C
	}
	end := time.After(s.Duration)
	crashRequests := 0
	for {
		prompt := fmt.Sprintf("first-%d:50,subject-%d:400", random.IntN(2), random.IntN(subjects))
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-sound.C:
			r.send(ctx, random.IntN(s.Routers), prompt+",own:9", r.recordSound)
		case <-crash:
			if time.Since(r.startedAt) >= s.Crash.From {
				r.send(ctx, crashRequests%s.Routers, prompt+","+crashSegment+":30,own:9", r.recordCrash)
				crashRequests++
			}
		}
	}
}

// result is how a request ended at its caller.
type result struct{ served, refused bool }

// send sends a request to a router, and records its result once it has ended. It drops
// the request if too many are under way.
func (r *runner) send(ctx context.Context, router int, prompt string, record func(*Point, result)) {
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	r.mu.Lock()
	r.ids++
	id := fmt.Sprintf("x-%d", r.ids)
	r.mu.Unlock()
	r.sending.Go(func() {
		defer func() { <-r.slots }()
		got := r.request(ctx, router, id, prompt)
		r.mu.Lock()
		defer r.mu.Unlock()
		record(r.point(time.Now()), got)
	})
}

// request sends a request and reads its response.
func (r *runner) request(ctx context.Context, router int, id, prompt string) result {
	url := "http://" + r.fleet.callerAddr(router) + "/stream/chat/1"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		panic(err) // the URL is valid
	}
	request.Host = host
	standin.SetCallerHeaders(request.Header, id, apiKey, prompt)
	response, err := r.client.Do(request)
	if err != nil {
		return result{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	complete := err == nil && strings.Count(string(body), "\n\n") == eventsPerRun
	return result{served: response.StatusCode == http.StatusOK && complete, refused: response.StatusCode == http.StatusServiceUnavailable}
}

// point returns the point of the second of a time. The lock is held.
func (r *runner) point(at time.Time) *Point {
	second := int(at.Sub(r.startedAt) / time.Second)
	return &r.points[min(max(second, 0), len(r.points)-1)]
}

func (r *runner) recordSound(p *Point, got result) {
	if got.served {
		p.SoundServed++
	} else {
		p.SoundFailed++
	}
}

func (r *runner) recordCrash(p *Point, got result) {
	if got.refused {
		p.CrashRefused++
	}
}

// report adds what the endpoints saw and returns the report.
func (r *runner) report(s Scenario) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	report := Report{Name: s.Name, Seed: s.Seed}
	for _, at := range f.crashes {
		r.point(at).Crashes++
	}
	for _, e := range f.endpoints {
		var received []time.Time
		for _, x := range e.Executions() {
			received = append(received, x.ReceivedAt)
			if len(f.crashes) >= 5 && strings.Contains(x.Prompt(), crashSegment+":") && x.ReceivedAt.Sub(f.crashes[4]) > contactTime {
				report.LateCrashRequests++
			}
		}
		if e.RateLimit == "" {
			continue
		}
		for _, at := range received {
			r.point(at).Limited++
		}
		report.BusiestWindow = max(report.BusiestWindow, busiestWindow(received, r.startedAt.Add(contactTime)))
	}
	for second := range r.points {
		p := &r.points[second]
		p.Second = second
		report.Totals.SoundServed += p.SoundServed
		report.Totals.SoundFailed += p.SoundFailed
		report.Totals.CrashRefused += p.CrashRefused
		report.Totals.Crashes += p.Crashes
		report.Totals.Limited += p.Limited
	}
	report.Series = r.points
	return report
}

// busiestWindow returns the largest number of requests in a span of limitWindow that
// begins at or after from. The times are in ascending order.
func busiestWindow(received []time.Time, from time.Time) int {
	most := 0
	for i, first := range received {
		n := 0
		for _, at := range received[i:] {
			if at.Sub(first) >= limitWindow {
				break
			}
			n++
		}
		if !first.Before(from) {
			most = max(most, n)
		}
	}
	return most
}
