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

// newPeers creates the membership directory and the bus of a router. Without a peer
// listener in the settings there is no peer link, and the bus has no peers.
func (d *Daemon) newPeers(hybridClock *hlc.Clock) {
	d.members = member.NewDirectory(d.settings.Member, d.self, d.platform, clock.Real{}, d.events)
	if d.settings.Peer.Listen == "" {
		d.bus = bus.NewNetwork().Join(d.self)
		return
	}
	d.link = peer.New(d.settings.Peer, d.self, peer.Dependencies{
		Directory: d.members, Clock: hybridClock, Events: d.events, Metrics: d.metrics, Log: d.componentLog("peer"),
	})
	d.bus = d.link
}

// provisionPeers opens the peer listener and sets the router's addresses, which are
// known only now, in the membership. The operator listener must be open.
func (d *Daemon) provisionPeers() error {
	if d.link == nil {
		return nil
	}
	d.link.SetOperatorURL(d.operator.URL())
	if err := d.link.Provision(); err != nil {
		return err
	}
	d.members.SetAddrs(d.link.Self().Addr, d.operator.URL())
	return nil
}

// runPeers serves the peer listener until cleanupPeers. It returns at once if the peer
// link is off.
func (d *Daemon) runPeers() error {
	if d.link == nil {
		return nil
	}
	return d.link.Run()
}

// runMembers keeps this router registered and the membership up to date until ctx ends.
// If a newer incarnation on the same VM supersedes this one, it starts the drain.
func (d *Daemon) runMembers(ctx context.Context) error {
	log := d.componentLog("member")
	err := d.members.Run(ctx, func(err error) { log.Warn("membership refresh failed", "err", err) })
	if errors.Is(err, member.ErrSuperseded) {
		log.Warn("superseded by a newer incarnation on this VM, draining", "err", err)
		d.supersede()
		return nil
	}
	return err
}

// seedInterval is the time between two rounds of dialing the seeds.
const seedInterval = 2 * time.Second

// dialSeeds dials the seed addresses until there is a connection to another router or
// ctx ends, so that a router that starts while the platform is unreachable has peers
// that it can query.
func (d *Daemon) dialSeeds(ctx context.Context) error {
	if d.link == nil {
		return nil
	}
	for ctx.Err() == nil && len(d.bus.Peers()) == 0 && len(d.settings.Peer.Seeds) > 0 {
		for _, addr := range d.settings.Peer.Seeds {
			if _, err := d.link.DialAddress(ctx, addr); err != nil {
				d.componentLog("peer").Debug("seed not reached", "addr", addr, "err", err)
			}
		}
		if clock.Sleep(ctx, clock.Real{}, seedInterval) != nil {
			break
		}
	}
	return nil
}

// leaveTimeout bounds the removal of the router's member row. Other routers later remove
// a row that wasn't removed in time, since its heartbeats have stopped.
const leaveTimeout = 3 * time.Second

// leavePeers removes the router from the membership, once the view leases that it has
// granted to peers have expired.
func (d *Daemon) leavePeers(ctx context.Context) error {
	if err := d.config.DrainViewLeases(ctx); err != nil {
		// The member row stays: without it a configuration could count as
		// accepted while others still rely on this router's view.
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return d.members.Deregister(ctx)
}

// cleanupPeers closes the peer listener and the connections to peers.
func (d *Daemon) cleanupPeers() error {
	if d.link == nil {
		return nil
	}
	return d.link.Cleanup()
}
