package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// InDoubtGrant is a grant whose holder is not a member of the fleet. Its
// remaining tokens may have been spent; they are not granted to others until
// an operator resolves the grant.
type InDoubtGrant struct {
	Account     Account `json:"account"`
	Incarnation string  `json:"incarnation"`
	Holder      string  `json:"holder"`
	// Billed is the number of tokens that have bills, and Remaining the number
	// of tokens in doubt.
	Billed    int64 `json:"billed"`
	Remaining int64 `json:"rest"`
}

// Resolution is an operator's decision on an in-doubt grant.
type Resolution struct {
	Account     Account `json:"account"`
	Incarnation string  `json:"incarnation"`
	// ProcessDead means that the operator knows that the holder's process has
	// ended and cannot resume and spend. Only then are remaining tokens
	// returned to the budget; otherwise all of them are written off.
	ProcessDead bool `json:"gone"`
	// Spent is the number of remaining tokens to charge if ProcessDead is set.
	Spent int64 `json:"spent"`
}

// ResolvedGrant is the result of a resolution, in tokens: WrittenOff was
// charged without a bill and Returned went back to the budget.
type ResolvedGrant struct {
	Resolution
	Billed     int64 `json:"billed"`
	WrittenOff int64 `json:"burned"`
	Returned   int64 `json:"returned"`
}

// InDoubtGrants lists the grants of all lost holders, ordered by account and
// incarnation.
func (l *Ledger) InDoubtGrants(ctx context.Context) ([]InDoubtGrant, error) {
	grants, err := l.readGrants(ctx, grantPrefix)
	if err != nil {
		return nil, fmt.Errorf("list doubts: %w", err)
	}
	inDoubt := []InDoubtGrant{}
	for _, g := range grants {
		if l.isLive(g.grant.Holder) {
			continue
		}
		billed, _, err := billedSinceCounted(ctx, l.table, g)
		if err != nil {
			return nil, fmt.Errorf("list doubts: %w", err)
		}
		inDoubt = append(inDoubt, InDoubtGrant{
			Account: g.account, Incarnation: g.incarnation, Holder: g.grant.Holder,
			Billed: g.grant.Settled + billed, Remaining: g.grant.Tokens - g.grant.Settled - billed,
		})
	}
	return inDoubt, nil
}

// ResolveInDoubtGrant closes the grant of a lost holder, once; if it is
// called again for the same grant, it returns the first result. It returns
// ErrNotFound if there is no such grant and ErrConflict if its holder is live
// or more is to be charged than is in doubt. It fences the holder's
// incarnation before it reads the bills, so that none is added afterwards: a
// holder that was only paused can neither draw nor bill when it resumes, and
// what it still serves from its grant is covered by the tokens written off.
func (l *Ledger) ResolveInDoubtGrant(ctx context.Context, resolution Resolution) (ResolvedGrant, error) {
	for {
		resolved, done, err := l.tryResolve(ctx, resolution)
		if err != nil {
			return resolved, fmt.Errorf("settle doubt of %s at %s: %w", resolution.Incarnation, resolution.Account, err)
		}
		if done {
			return resolved, nil
		}
	}
}

// tryResolve attempts the resolution once. It reports done = false without an
// error if the grant changed meanwhile and the caller has to start over.
func (l *Ledger) tryResolve(ctx context.Context, resolution Resolution) (resolved ResolvedGrant, done bool, err error) {
	resolutionKey := resolutionPrefix + resolution.Account.String() + "/" + resolution.Incarnation
	rows, err := l.table.Get(ctx, resolutionKey, grantKey(resolution.Account, resolution.Incarnation))
	if err != nil {
		return resolved, false, err
	}
	if rows[0].Version > 0 {
		resolved, err = decode[ResolvedGrant](rows[0])
		return resolved, err == nil, err
	}
	if rows[1].Version == 0 {
		return resolved, false, ErrNotFound
	}
	g := openGrant{account: resolution.Account, incarnation: resolution.Incarnation, tableRow: rows[1]}
	if g.grant, err = decode[grantRow](rows[1]); err != nil {
		return resolved, false, err
	}
	if l.isLive(g.grant.Holder) {
		return resolved, false, fmt.Errorf("%w: the holder %s is a live member", ErrConflict, g.grant.Holder)
	}
	if err := l.fence(ctx, resolution.Incarnation); err != nil {
		return resolved, false, err
	}
	return l.closeInDoubtGrant(ctx, resolution, g, resolutionKey)
}

// fence writes the row that makes every later transaction of an incarnation
// conflict.
func (l *Ledger) fence(ctx context.Context, incarnation string) error {
	key := fenceKey(incarnation)
	_, err := platform.CommitUntilKnown(ctx, l.table, platform.Txn{
		OpID:   "fence:" + incarnation,
		Conds:  []platform.Cond{{Key: key}},
		Writes: []platform.Write{putRow(key, true)},
	})
	if platform.IsConflict(err) || platform.KindOf(err) == platform.KindUnknown && ctx.Err() == nil {
		return nil // already fenced, or fenced by a request whose response was lost
	}
	return err
}

// closeInDoubtGrant reads the bills of a fenced grant and closes it. Its
// results are those of tryResolve.
func (l *Ledger) closeInDoubtGrant(ctx context.Context, resolution Resolution, g openGrant, resolutionKey string) (resolved ResolvedGrant, done bool, err error) {
	rows, err := l.table.Get(ctx, g.grant.Source, g.tableRow.Key, fenceKey(resolution.Incarnation))
	if err != nil {
		return resolved, false, err
	}
	if rows[1].Version != g.tableRow.Version || rows[2].Version == 0 {
		return resolved, false, nil // the holder's last write or another operator's resolution came first
	}
	source, err := decode[sourceRow](rows[0])
	if err != nil {
		return resolved, false, err
	}
	billed, _, err := billedSinceCounted(ctx, l.table, g)
	if err != nil {
		return resolved, false, err
	}
	remaining := g.grant.Tokens - g.grant.Settled - billed
	resolved = ResolvedGrant{Resolution: resolution, Billed: g.grant.Settled + billed, WrittenOff: remaining}
	if resolution.ProcessDead {
		if resolution.Spent < 0 || resolution.Spent > remaining {
			return resolved, false, fmt.Errorf("%w: %d tokens are in doubt, not %d", ErrConflict, remaining, resolution.Spent)
		}
		resolved.WrittenOff, resolved.Returned = resolution.Spent, remaining-resolution.Spent
	}
	source.Returned += resolved.Returned
	source.Settled += resolved.Billed + resolved.WrittenOff
	source.WrittenOff += resolved.WrittenOff
	source.OpenGrants--
	_, err = platform.CommitUntilKnown(ctx, l.table, platform.Txn{
		OpID:  uuid.NewString(),
		Conds: []platform.Cond{unchanged(rows[0]), unchanged(rows[1]), unchanged(rows[2]), {Key: resolutionKey}},
		Writes: []platform.Write{
			putRow(rows[0].Key, source), {Key: g.tableRow.Key, Delete: true}, putRow(resolutionKey, resolved),
		},
	})
	if platform.IsConflict(err) || platform.KindOf(err) == platform.KindUnknown && ctx.Err() == nil {
		return resolved, false, nil
	}
	return resolved, err == nil, err
}
