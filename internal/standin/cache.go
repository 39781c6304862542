package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
)

// maxCacheEvents bounds the cache events that an engine keeps for readers. Above it,
// the older half is dropped.
const maxCacheEvents = 16384

// prefixCache is an LRU cache of the hashes of prompt blocks. It appends an event
// to its list for each block that is stored or evicted. It is safe for concurrent
// use.
type prefixCache struct {
	mu        sync.Mutex // guards all below
	maxBlocks int
	recent    *list.List // of uint64, most recent first
	blocks    map[uint64]*list.Element
	lastSeq   int64
	events    []timedEvent
}

// timedEvent is a cache event with the time at which it happened, from which
// eventsSince computes the event's age.
type timedEvent struct {
	engine.CacheEvent
	recordedAt time.Time
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndStore returns the number of leading blocks that were cached, up to the
// first that was not. It then stores all blocks.
func (c *prefixCache) lookupAndStore(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBlocks := 0
	for cachedBlocks < len(blocks) && c.blocks[blocks[cachedBlocks]] != nil {
		cachedBlocks++
	}
	for _, b := range blocks {
		c.storeLocked(b)
	}
	return cachedBlocks
}

// storeLocked marks a block as the most recently used one, adds it if it is new,
// and evicts the least recently used block of a cache above maxBlocks.
func (c *prefixCache) storeLocked(block uint64) {
	if element := c.blocks[block]; element != nil {
		c.recent.MoveToFront(element)
		return
	}
	c.blocks[block] = c.recent.PushFront(block)
	c.appendEventLocked(block, true)
	if c.recent.Len() <= c.maxBlocks {
		return
	}
	oldest := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, oldest)
	c.appendEventLocked(oldest, false)
}

// appendEventLocked records that a block was stored or, if stored is false,
// evicted.
func (c *prefixCache) appendEventLocked(block uint64, stored bool) {
	c.lastSeq++
	event := engine.CacheEvent{Seq: c.lastSeq, Block: block, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, recordedAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsSince returns the events with sequence numbers above sinceSeq that are at
// least minAge old. It leaves out a random share of them, lossShare from 0 to 1,
// but counts those in LastSeq, so that readers see gaps in the sequence.
func (c *prefixCache) eventsSince(sinceSeq int64, minAge time.Duration, lossShare float64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := engine.CacheEvents{LastSeq: sinceSeq}
	newest := time.Now().Add(-minAge)
	for _, e := range c.events {
		if e.Seq <= sinceSeq {
			continue
		}
		if e.recordedAt.After(newest) {
			break
		}
		result.LastSeq = e.Seq
		if rand.Float64() >= lossShare {
			result.Events = append(result.Events, e.CacheEvent)
		}
	}
	return result
}
