package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
)

// maxEvents bounds the cache events that an engine keeps for readers.
const maxEvents = 16384

// prefixCache keeps the most recently used prompt blocks and publishes an
// event for each block that enters or leaves.
type prefixCache struct {
	mu     sync.Mutex // guards all below
	limit  int
	recent *list.List // of uint64, most recent first
	blocks map[uint64]*list.Element
	seq    int64
	events []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns how many leading blocks were cached, and caches them all.
func (c *prefixCache) use(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, b := range blocks {
		c.storeLocked(b)
	}
	return hits
}

func (c *prefixCache) storeLocked(block uint64) {
	if e := c.blocks[block]; e != nil {
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[block] = c.recent.PushFront(block)
	c.publishLocked(block, true)
	if c.recent.Len() <= c.limit {
		return
	}
	oldest := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, oldest)
	c.publishLocked(oldest, false)
}

func (c *prefixCache) publishLocked(block uint64, stored bool) {
	c.seq++
	event := engine.CacheEvent{Seq: c.seq, Block: block, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
}

// eventsSince returns the events after number since that are at least delay
// old, without the share that is lost.
func (c *prefixCache) eventsSince(since int64, delay time.Duration, lost float64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := engine.CacheEvents{LastSeq: since}
	cutoff := time.Now().Add(-delay)
	for _, e := range c.events {
		if e.Seq <= since {
			continue
		}
		if e.at.After(cutoff) {
			break
		}
		result.LastSeq = e.Seq
		if rand.Float64() >= lost {
			result.Events = append(result.Events, e.CacheEvent)
		}
	}
	return result
}
