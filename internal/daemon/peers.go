package daemon

import (
	"context"
	"errors"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/internal/peer"
)

// newPeers makes the membership and the bus of a router. Without a peer
// listener the bus has no peers.
func (d *Daemon) newPeers(stamps *hlc.Clock) {
	d.members = member.NewDirectory(d.settings.Member, d.self, d.platform, clock.Real{}, d.events)
	if d.settings.Peer.Listen == "" {
		d.bus = bus.NewNetwork().Join(d.self)
		return
	}
	d.link = peer.New(d.settings.Peer, d.self, peer.Duties{
		Directory: d.members, Clock: stamps, Events: d.events, Metrics: d.metrics, Log: d.part("peer"),
	})
	d.bus = d.link
}

// provisionPeers opens the peer listener.
func (d *Daemon) provisionPeers() error {
	if d.link == nil {
		return nil
	}
	d.link.SetOperator(d.operator.URL())
	if err := d.link.Provision(); err != nil {
		return err
	}
	d.members.SetAddrs(d.link.Self().Addr, d.operator.URL())
	return nil
}

// runPeers serves the peer listener until cleanupPeers.
func (d *Daemon) runPeers() error {
	if d.link == nil {
		return nil
	}
	return d.link.Run()
}

// runMembers keeps the membership until ctx ends. A router that a newer
// incarnation on its VM has superseded drains.
func (d *Daemon) runMembers(ctx context.Context) error {
	log := d.part("member")
	err := d.members.Run(ctx, func(err error) { log.Warn("Refresh failed.", "err", err) })
	if errors.Is(err, member.ErrSuperseded) {
		log.Warn("Superseded; the router drains.", "err", err)
		d.supersede()
		return nil
	}
	return err
}

// seedInterval is the time between two rounds of dials to the seeds.
const seedInterval = 2 * time.Second

// greetSeeds dials the seeds until another router is known, so that a router
// which starts while the platform is away knows whom to ask.
func (d *Daemon) greetSeeds(ctx context.Context) error {
	if d.link == nil {
		return nil
	}
	for ctx.Err() == nil && len(d.bus.Peers()) == 0 && len(d.settings.Peer.Seeds) > 0 {
		for _, addr := range d.settings.Peer.Seeds {
			if _, err := d.link.Introduce(ctx, addr); err != nil {
				d.part("peer").Debug("Seed not reached.", "addr", addr, "err", err)
			}
		}
		if clock.Sleep(ctx, clock.Real{}, seedInterval) != nil {
			break
		}
	}
	return nil
}

// leaveTimeout bounds the removal of the router's row; one that stays is
// removed by the others in time.
const leaveTimeout = 3 * time.Second

// leavePeers takes the router out of the membership.
func (d *Daemon) leavePeers(ctx context.Context) error {
	if err := d.config.DrainViewLeases(ctx); err != nil {
		return err // the row stays, so that nothing is accepted too early
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return d.members.Deregister(ctx)
}

func (d *Daemon) cleanupPeers() error {
	if d.link == nil {
		return nil
	}
	return d.link.Cleanup()
}
