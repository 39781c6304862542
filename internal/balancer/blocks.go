package balancer

import "container/list"

// blockSet is this router's estimate of the prefix blocks in one endpoint's
// cache. It is built from the prompts that this router sent there and from the
// endpoint's cache events, which arrive late and may be incomplete. A wrong
// estimate makes a request slower but never changes its result. It is an LRU
// set of block hashes with at most limit entries, guarded by Balancer.mu.
type blockSet struct {
	limit  int
	recent *list.List // of uint64, most recent first
	blocks map[uint64]*list.Element
	// lastEvent is the sequence number of the newest cache event applied.
	lastEvent int64
}

// newBlockSet returns an empty set that keeps at most limit blocks.
func newBlockSet(limit int) *blockSet {
	return &blockSet{limit: limit, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cachedPrefixLen returns how many of the leading blocks are estimated to be
// cached. Blocks after the first one that is missing do not count, since an
// engine can only reuse a contiguous prefix.
func (s *blockSet) cachedPrefixLen(blocks []uint64) int {
	n := 0
	for n < len(blocks) && s.blocks[blocks[n]] != nil {
		n++
	}
	return n
}

// add inserts a block or marks it as most recently used. If the set exceeds its
// limit, the least recently used block is evicted.
func (s *blockSet) add(block uint64) {
	if e := s.blocks[block]; e != nil {
		s.recent.MoveToFront(e)
		return
	}
	s.blocks[block] = s.recent.PushFront(block)
	if s.recent.Len() > s.limit {
		s.remove(s.recent.Back().Value.(uint64))
	}
}

// remove deletes a block; it does nothing if the block is not in the set.
func (s *blockSet) remove(block uint64) {
	if e := s.blocks[block]; e != nil {
		s.recent.Remove(e)
		delete(s.blocks, block)
	}
}

// clear removes all blocks and resets the event number. It is called when the
// endpoint has restarted with an empty cache.
func (s *blockSet) clear() {
	s.recent.Init()
	clear(s.blocks)
	s.lastEvent = 0
}
