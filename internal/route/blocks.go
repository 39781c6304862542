package route

import "container/list"

// blockSet remembers which prefix blocks an endpoint's cache holds, as far as
// this router knows: from what it sent there and from the endpoint's cache
// events, which come late and with gaps. A wrong guess costs time, never
// correctness. It is guarded by Router.mu.
type blockSet struct {
	limit  int
	recent *list.List // of uint64, most recent first
	blocks map[uint64]*list.Element
	// last is the number of the newest event seen.
	lastEvent int64
}

func newBlockSet(limit int) *blockSet {
	return &blockSet{limit: limit, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// hits returns how many leading blocks are thought to be cached.
func (s *blockSet) cachedPrefixLen(blocks []uint64) int {
	n := 0
	for n < len(blocks) && s.blocks[blocks[n]] != nil {
		n++
	}
	return n
}

// add remembers a block and forgets the least recently used beyond the limit.
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

func (s *blockSet) remove(block uint64) {
	if e := s.blocks[block]; e != nil {
		s.recent.Remove(e)
		delete(s.blocks, block)
	}
}

// clear forgets all blocks: the endpoint has started anew.
func (s *blockSet) clear() {
	s.recent.Init()
	clear(s.blocks)
	s.lastEvent = 0
}
