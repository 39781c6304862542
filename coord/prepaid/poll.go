package prepaid

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// poll asks the voters whether the store responds to them.
func (c *contact) poll() {
	began := c.pool.options.Clock.Now()
	voters := c.voters()
	accepted, newest, missing := c.pool.holder.heartbeat.consentsMissing()
	c.mu.Lock()
	votes := []contactResponse{c.responseLocked()}
	c.observeLocked(began, voters, votes)
	c.mu.Unlock()
	asked := slices.Clone(voters)
	for _, id := range missing {
		if !slices.Contains(voters, id) {
			asked = append(asked, id)
		}
	}
	request := contactRequest{}
	if len(missing) > 0 {
		request = contactRequest{Accepted: accepted, Newest: newest}
	}
	c.ask(asked, request, func(id bus.ID, r contactResponse) {
		if r.Consent {
			c.pool.holder.heartbeat.noteConsent(id, newest)
		}
		if !slices.Contains(voters, id) {
			return
		}
		c.mu.Lock()
		votes = append(votes, r)
		c.observeLocked(began, voters, votes)
		c.noteReachingLocked(began, id, r)
		c.mu.Unlock()
	})
	c.logPoll(began, voters, votes)
	c.pool.holder.extendAll()
}

// noteReachingLocked notes whether the store responds to a router, by a poll that began at a time.
func (c *contact) noteReachingLocked(began time.Time, id bus.ID, r contactResponse) {
	if began.Before(c.reachingAt) || !r.Responding || r.Leaving {
		return
	}
	if began.After(c.reachingAt) {
		c.reaching, c.reachingAt = nil, began
	}
	c.reaching = append(c.reaching, id)
}

// logPoll logs a poll in which too few routers found the store silent, or after which consents are missing, once a
// second.
func (c *contact) logPoll(began time.Time, voters []bus.ID, votes []contactResponse) {
	_, _, missing := c.pool.holder.heartbeat.consentsMissing()
	consented := c.pool.holder.heartbeat.state().consented || len(missing) == 0
	silent, responding := countVotes(votes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if silent >= majority(len(voters)+1) && consented || began.Sub(c.loggedAt) < time.Second {
		return
	}
	c.loggedAt = began
	if silent >= majority(len(voters)+1) {
		c.pool.options.Log.Info("store silent for most routers, but consents are missing, no tokens are unlocked", "routers", len(voters)+1,
			"silent", silent, "missing", len(missing), "first_missing", missing[0].String())
		return
	}
	c.pool.options.Log.Info("store not silent for most routers, no tokens are unlocked", "routers", len(voters)+1,
		"answered", len(votes), "silent", silent, "responding", responding)
}

// countVotes returns for how many routers the store is silent, and to how many it responds.
func countVotes(votes []contactResponse) (silent, responding int) {
	for _, vote := range votes {
		switch {
		case vote.Silent:
			silent++
		case vote.Responding:
			responding++
		}
	}
	return silent, responding
}

// observeLocked notes the votes of a poll so far.
func (c *contact) observeLocked(began time.Time, voters []bus.ID, votes []contactResponse) {
	silent, responding := countVotes(votes)
	c.outage.observe(began, len(voters)+1, silent, responding)
}

// ask asks routers whether the store responds to them, and for their consent if the request has heartbeats. It calls
// receive with each response, from several goroutines, and returns after the last.
func (c *contact) ask(ids []bus.ID, request contactRequest, receive func(id bus.ID, r contactResponse)) {
	ctx, cancel := context.WithTimeout(c.pool.holder.ctx, extendTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, id := range ids {
		running.Go(func() {
			r := request
			r.Consenter = id
			response, err := bus.Call[contactRequest, contactResponse](ctx, c.pool.options.Bus, id, kindContact, r)
			if err != nil {
				c.pool.lost.suspect(id)
				return
			}
			if response.Leaving {
				c.noteLeaving(id)
			}
			receive(id, response)
		})
	}
	running.Wait()
}

// unlockTime returns the time since the last heartbeat for which tokens of a grant may be
// unlocked, and false if they may not. writtenAt is when the newest applied write of its row was sent.
func (c *contact) unlockTime(writtenAt time.Time) (time.Duration, bool) {
	hb := c.pool.holder.heartbeat.state()
	if writtenAt.Before(hb.gapEnded) || !hb.consented {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage.unlockTime(hb.last, hb.confirmed, c.pool.options.Clock.Now(), c.pool.holder.options.Settings.UnlockAfter)
}

// refuted reports whether the store is known to respond to other routers.
func (c *contact) refuted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage.refuted(c.pool.options.Clock.Now())
}

// voters returns the routers that are polled.
func (c *contact) voters() []bus.ID {
	byDomain := make(map[string][]Member)
	for _, m := range c.pool.records.recentMembers() {
		c.mu.Lock()
		_, leaving := c.leaving[m.ID]
		c.mu.Unlock()
		if !leaving && !c.pool.lost.silentFor(m.ID, voterFor) {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	for _, list := range byDomain {
		sortByScore(list, "voter")
	}
	var ids []bus.ID
	for i := 0; ; i++ {
		n := len(ids)
		for _, list := range byDomain {
			if i < len(list) {
				ids = append(ids, list[i].ID)
			}
		}
		if len(ids) == n || n >= maxVoters {
			return ids[:min(len(ids), maxVoters)]
		}
	}
}

// consenters returns the routers that the next heartbeat names: the voters that respond.
func (c *contact) consenters() []bus.ID {
	members, _ := c.pool.options.Fleet.Available()
	available := make(map[bus.ID]bool, len(members))
	for _, m := range members {
		available[m.ID] = true
	}
	return slices.DeleteFunc(c.pool.lost.responding(c.voters()), func(id bus.ID) bool { return !available[id] })
}

// probesPerRound is the number of voters that a holder probes in each round of maintenance, so that consenters are
// routers that have responded lately. Other routers probe one.
const probesPerRound = 3

// probeVoters tests whether the next of the voters respond, so that lost ones are known before an
// outage.
func (c *contact) probeVoters() {
	voters := c.voters()
	if len(voters) == 0 {
		return
	}
	slices.SortFunc(voters, func(a, b bus.ID) int { return cmp.Compare(a.VM, b.VM) })
	probes := 1
	if c.pool.holder.holding() {
		probes = min(probesPerRound, len(voters))
	}
	for range probes {
		c.mu.Lock()
		c.nextProbe++
		id := voters[c.nextProbe%len(voters)]
		c.mu.Unlock()
		c.pool.holder.tasks.Go(func() { c.pool.lost.probe(id) })
	}
}
