package daemon

import (
	"context"

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
	if err := d.link.Provision(); err != nil {
		return err
	}
	d.members.SetAddr(d.link.Self().Addr)
	return nil
}

// runPeers serves the peer listener until cleanupPeers.
func (d *Daemon) runPeers() error {
	if d.link == nil {
		return nil
	}
	return d.link.Run()
}

// runMembers keeps the membership until ctx ends.
func (d *Daemon) runMembers(ctx context.Context) error {
	log := d.part("member")
	return d.members.Run(ctx, func(err error) { log.Warn("Refresh failed.", "err", err) })
}

// leavePeers takes the router out of the membership.
func (d *Daemon) leavePeers(ctx context.Context) error { return d.members.Deregister(ctx) }

func (d *Daemon) cleanupPeers() error {
	if d.link == nil {
		return nil
	}
	return d.link.Cleanup()
}
