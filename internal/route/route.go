// Package route chooses the endpoint for each attempt and keeps what this
// router knows of each endpoint's load and health.
package route

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/work"
)

// Settings are the settings of the routing duty.
type Settings struct{}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{} }

// Validate adds every problem of the settings to l.
func (s Settings) Validate(*check.List, string) {}

// Configuration gives the revision in force.
type Configuration interface {
	Catalog() *catalog.Index
}

// Router chooses endpoints. It is safe for concurrent use.
type Router struct {
	settings Settings
	config   Configuration

	mu       sync.Mutex // guards inFlight
	inFlight map[string]int
}

// NewRouter returns a router over the configuration in force.
func NewRouter(s Settings, config Configuration) *Router {
	return &Router{settings: s, config: config, inFlight: make(map[string]int)}
}

// Lease is the use of an endpoint by one attempt. Done must be called once.
type Lease struct {
	Endpoint *catalog.Member
	router   *Router
}

// Done ends the use of the endpoint.
func (l *Lease) Done() {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.router.inFlight[l.Endpoint.Name]--
}

// PickModel chooses an endpoint for a generation, avoiding those tried.
func (r *Router) PickModel(g *work.Generation, tried map[string]bool) (*Lease, error) {
	return r.pick(r.config.Catalog().ForModel(g.Workspace, g.Model), tried, "model "+g.Model)
}

// PickService chooses an instance for a call, avoiding those tried.
func (r *Router) PickService(c *work.Call, tried map[string]bool) (*Lease, error) {
	return r.pick(r.config.Catalog().ForService(c.Workspace, c.Service), tried, "service "+c.Service)
}

// pick takes the better of two endpoints drawn at random.
func (r *Router) pick(members []*catalog.Member, tried map[string]bool, what string) (*Lease, error) {
	var fit []*catalog.Member
	for _, m := range members {
		if !m.Leaving && !tried[m.Name] {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil, failure.New(failure.NoEndpoint, "choose endpoint", "", fmt.Sprintf("no endpoint may serve %s now", what))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := fit[rand.IntN(len(fit))]
	if other := fit[rand.IntN(len(fit))]; r.inFlight[other.Name] < r.inFlight[best.Name] {
		best = other
	}
	r.inFlight[best.Name]++
	return &Lease{Endpoint: best, router: r}, nil
}
