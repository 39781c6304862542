package gateway

import (
	"context"
	"log/slog"
	"slices"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/gossip"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
)

// The topics of observations.
const (
	topicCrash gossip.Topic = "crash"
	// topicServed has the clearances of segments.
	topicServed gossip.Topic = "served"
)

// newQuarantine creates the quarantine and the exchange of observations that it uses.
func (g *Gateway) newQuarantine(peers bus.Bus) {
	g.gossip = gossip.New(gossip.Options{
		Bus: peers, Members: g.members, Clock: g.clock, Log: g.componentLog("gossip"), Metrics: g.metrics,
		Store: g.platform.Store, Row: g.members.ObservationsKey(),
	})
	g.members.OnObservations(func(row rowstore.Row) {
		if err := g.gossip.ReadRow(row.Value); err != nil {
			g.log.Warn("row with observations ignored", "row", row.Key.String(), "err", err.Error())
		}
	})
	log := g.componentLog("quarantine")
	g.quarantine = quarantine.New(quarantine.Options{
		Settings: g.settings.Quarantine, Clock: g.clock, Log: log, Metrics: g.metrics, MayTry: g.isChosenFor,
		PublishReport: func(request string, r quarantine.Report) { g.gossip.Publish(topicCrash, request, gossip.Encode(r)) },
		PublishClearance: func(c quarantine.Clearance) {
			g.gossip.Publish(topicServed, c.Pool+"/"+c.Segment, gossip.Encode(c))
		},
		Quarantined: func() { g.gossip.Persist(context.Background()) }, // the write has a timeout of its own
	})
	subscribe(g.gossip, topicCrash, log, func(o gossip.Observation, r quarantine.Report) { g.quarantine.ReceiveReport(r, o.At) })
	subscribe(g.gossip, topicServed, log, func(o gossip.Observation, c quarantine.Clearance) { g.quarantine.ReceiveClearance(c, o.At) })
}

// subscribe subscribes to a topic whose bodies are decoded as T. Malformed ones are
// logged and ignored.
func subscribe[T any](s *gossip.Spreader, topic gossip.Topic, log *slog.Logger, receive func(gossip.Observation, T)) {
	s.Subscribe(topic, quarantine.Retention, func(o gossip.Observation) {
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
	hash := xxhash.Sum64String(subject)
	score := func(id bus.ID) uint64 { return placement.Rendezvous(hash, id.VM) }
	listed := g.members.Listed()
	best := slices.MaxFunc(listed, func(a, b bus.ID) int {
		if score(a) < score(b) {
			return -1
		}
		return 1
	})
	return best == g.members.Self()
}
