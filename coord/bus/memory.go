package bus

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"daisyslip.dev/daisyslip/coord/failure"
)

// Network connects members in one process, for tests. Pairs of members can be
// partitioned from each other. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex // guards all below
	members     map[ID]*Member
	partitioned map[[2]ID]bool
}

// NewNetwork returns a network without members.
func NewNetwork() *Network {
	return &Network{members: make(map[ID]*Member), partitioned: make(map[[2]ID]bool)}
}

// Member is a member of a Network. It implements Bus.
type Member struct {
	network *Network
	self    Peer

	mu       sync.RWMutex // guards handlers
	handlers map[Kind]Handler
}

var _ Bus = (*Member)(nil)

// Join adds a member and returns its Bus.
func (n *Network) Join(self Peer) *Member {
	m := &Member{network: n, self: self, handlers: make(map[Kind]Handler)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[self.ID] = m
	return m
}

// Remove removes a member without notice, like a crash: the other members can no
// longer reach it.
func (n *Network) Remove(id ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.members, id)
}

// SetPartitioned partitions two members from each other, or connects them again,
// in both directions.
func (n *Network) SetPartitioned(a, b ID, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]ID{a, b}] = partitioned
	n.partitioned[[2]ID{b, a}] = partitioned
}

// reachable returns the member to if from can reach it, or nil.
func (n *Network) reachable(from, to ID) *Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members[from] == nil || n.partitioned[[2]ID{from, to}] {
		return nil
	}
	return n.members[to]
}

// Self implements Bus.
func (m *Member) Self() Peer { return m.self }

// Peers implements Bus.
func (m *Member) Peers() []Peer {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	var peers []Peer
	for id, other := range m.network.members {
		if id != m.self.ID && !m.network.partitioned[[2]ID{m.self.ID, id}] {
			peers = append(peers, other.self)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return peers
}

// Request implements Bus. It runs the handler of the other member in the calling
// goroutine. If the members are partitioned when the handler returns, the response
// is lost.
func (m *Member) Request(ctx context.Context, to ID, kind Kind, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure.Wrap(failure.PeerUnavailable, string(kind), to.String(), err)
	}
	other := m.network.reachable(m.self.ID, to)
	if other == nil {
		return nil, failure.New(failure.PeerUnavailable, string(kind), to.String(), "no route to the peer")
	}
	other.mu.RLock()
	handler := other.handlers[kind]
	other.mu.RUnlock()
	if handler == nil {
		return nil, failure.New(failure.NotFound, string(kind), to.String(), "the peer does not handle this kind")
	}
	response, err := handler(ctx, m.self.ID, body)
	if m.network.reachable(m.self.ID, to) == nil {
		return nil, failure.New(failure.PeerUnavailable, string(kind), to.String(), "the answer was lost")
	}
	return response, err
}

// Handle implements Bus.
func (m *Member) Handle(kind Kind, handler Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers[kind] != nil {
		panic("second handler of " + string(kind))
	}
	m.handlers[kind] = handler
}
