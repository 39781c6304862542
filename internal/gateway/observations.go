package gateway

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/gossip"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
)

// The topics of observations.
const (
	topicCrash gossip.Topic = "crash"
	// topicServed has the clearances of segments and requests.
	topicServed gossip.Topic = "served"
	// topicLimit has the rate limits that endpoints state.
	topicLimit gossip.Topic = "limit"
	// topicLoad has the withdrawals of readiness by overloaded routers.
	topicLoad gossip.Topic = "load"
)

// newGossip creates the exchange of observations with the other routers.
func (g *Gateway) newGossip(peers bus.Bus) {
	g.gossip = gossip.New(gossip.Options{
		Bus: peers, Members: g.members, Clock: g.clock, Log: g.componentLog("gossip"), Metrics: g.metrics,
		Store: g.platform.Store, Row: g.members.ObservationsKey(),
	})
	g.members.OnObservations(func(row rowstore.Row) {
		if err := g.gossip.ReadRow(row.Value); err != nil {
			g.log.Warn("row with observations ignored", "row", row.Key.String(), "err", err.Error())
		}
	})
}

// newQuarantine creates the quarantine and subscribes to what it needs.
func (g *Gateway) newQuarantine() {
	log := g.componentLog("quarantine")
	g.quarantine = quarantine.New(quarantine.Options{
		Settings: g.settings.Quarantine, Clock: g.clock, Log: log, Metrics: g.metrics, MayTry: g.isChosenFor, Jitter: rand.N[time.Duration],
		PublishReport: func(subject string, r quarantine.Report) { g.gossip.Publish(topicCrash, subject, gossip.Encode(r)) },
		PublishClearance: func(c quarantine.Clearance) {
			g.gossip.Publish(topicServed, c.Subject(), gossip.Encode(c))
		},
		Quarantined: g.gossip.Persist,
	})
	subscribe(g.gossip, topicCrash, log, func(o gossip.Observation, r quarantine.Report) { g.quarantine.ReceiveReport(r, o.At) })
	subscribe(g.gossip, topicServed, log, func(o gossip.Observation, c quarantine.Clearance) { g.quarantine.ReceiveClearance(c, o.At) })
}

// newLimits creates the rate limits of endpoints and subscribes to what they need.
func (g *Gateway) newLimits(peers bus.Bus) {
	log := g.componentLog("limits")
	g.limits = endpointlimit.New(endpointlimit.Options{
		Bus: peers, Governor: g.governorOf, Clock: g.clock, Log: log, Metrics: g.metrics,
		Cold:    endpointlimit.ColdOptions{Rate: g.coldRate, Governor: g.coldGovernorOf},
		Publish: func(s endpointlimit.Statement) { g.gossip.Publish(topicLimit, s.Endpoint, gossip.Encode(s)) },
	})
	subscribe(g.gossip, topicLimit, log, func(o gossip.Observation, s endpointlimit.Statement) { g.limits.Receive(s, o.At) })
}

// governorOf returns the router that hands out the permits for an endpoint: of the
// members that respond, the one that is chosen for it. Without a peer link it is this
// router.
func (g *Gateway) governorOf(endpoint string) bus.ID {
	available, _ := g.members.Available()
	if g.link == nil || len(available) == 0 {
		return g.members.Self()
	}
	ids := make([]bus.ID, len(available))
	for i, m := range available {
		ids[i] = m.ID
	}
	return chosenFor(endpoint, ids)
}

// subscribe subscribes to a topic whose bodies are decoded as T. Malformed ones are
// logged and ignored.
func subscribe[T any](s *gossip.Spreader, topic gossip.Topic, log *slog.Logger, receive func(gossip.Observation, T)) {
	subscribeFor(s, topic, quarantine.Retention, log, receive)
}

// subscribeFor is subscribe for observations that are kept for another time.
func subscribeFor[T any](s *gossip.Spreader, topic gossip.Topic, retention time.Duration, log *slog.Logger, receive func(gossip.Observation, T)) {
	s.Subscribe(topic, retention, func(o gossip.Observation) {
		var body T
		if err := gossip.Decode(o.Body, &body); err != nil {
			log.Warn("observation of another router ignored", "topic", string(topic), "origin", o.Origin.String(), "err", err.Error())
			return
		}
		receive(o, body)
	})
}

// isChosenFor reports whether this router is the one of the fleet that is chosen for a
// subject. All routers that know of the same members choose the same one.
func (g *Gateway) isChosenFor(subject string) bool {
	return chosenFor(subject, g.members.Listed()) == g.members.Self()
}

// chosenFor returns the member that rendezvous hashing chooses for a subject. There must
// be a member.
func chosenFor(subject string, members []bus.ID) bus.ID {
	hash := xxhash.Sum64String(subject)
	return slices.MaxFunc(members, func(a, b bus.ID) int {
		return cmp.Compare(placement.Rendezvous(hash, a.VM), placement.Rendezvous(hash, b.VM))
	})
}
