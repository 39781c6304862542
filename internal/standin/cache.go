package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
)

// maxEvents bounds the cache events that an engine keeps for readers.
const maxCacheEvents = 16384

// prefixCache keeps the most recently used prompt blocks and publishes an
// event for each block that enters or leaves.
type prefixCache struct {
	mu        sync.Mutex // guards all below
	maxBlocks int
	recent    *list.List // of uint64, most recent first
	blocks    map[uint64]*list.Element
	lastSeq   int64
	events    []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	recordedAt time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxBlocks: limit, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns how many leading blocks were cached, and caches them all.
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

func (c *prefixCache) appendEventLocked(block uint64, stored bool) {
	c.lastSeq++
	event := engine.CacheEvent{Seq: c.lastSeq, Block: block, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, recordedAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsSince returns the events after number since that are at least delay
// old, without the share that is lost.
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
