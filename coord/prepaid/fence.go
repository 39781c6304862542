package prepaid

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"daisyslip.dev/daisyslip/coord/bus"
)

// errNoReplicas is returned for a grant whose row names no replicas.
var errNoReplicas = errors.New("its row names no replicas")

// fence fences the row of a grant at its replicas. It returns the newest extension that they know and how
// many of them responded, also with the error that these are too few.
func (l *lostHolders) fence(id grantID, grant grantRow) (extended int64, fenced int, err error) {
	if len(grant.Replicas) == 0 {
		return 0, 0, errNoReplicas
	}
	ctx, cancel := context.WithTimeout(l.pool.holder.ctx, extendTimeout)
	defer cancel()
	var running sync.WaitGroup
	var mu sync.Mutex // guards the results
	for _, replica := range grant.Replicas {
		running.Go(func() {
			request := fenceRequest{Workspace: id.workspace, Holder: id.holder, Replica: replica, Seq: grant.Seq}
			tokens, err := l.pool.fenceAt(ctx, replica, request)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				extended, fenced = max(extended, tokens), fenced+1
			}
		})
	}
	running.Wait()
	if quorum := fenceQuorum(len(grant.Replicas)); fenced < quorum {
		return extended, fenced, fmt.Errorf("%d of %d replicas fenced it, %d are needed", fenced, len(grant.Replicas), quorum)
	}
	return extended, fenced, nil
}

// fenceAt fences a grant at one replica, which may be this router.
func (p *Pool) fenceAt(ctx context.Context, replica bus.ID, request fenceRequest) (int64, error) {
	if replica == p.options.Self.ID {
		response, err := p.extensions.fence(ctx, replica, request)
		return response.Tokens, err
	}
	response, err := bus.Call[fenceRequest, fenceResponse](ctx, p.options.Bus, replica, kindFence, request)
	return response.Tokens, err
}
