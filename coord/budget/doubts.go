package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// Doubt is a grant whose holder is not a member of the fleet. Its rest may
// have been spent or not; it is never handed out until an operator settles it.
type InDoubtGrant struct {
	Account     Account `json:"account"`
	Incarnation string  `json:"incarnation"`
	Holder      string  `json:"holder"`
	// Billed is the spending that is known, and Rest what is in doubt, in
	// tokens.
	Billed    int64 `json:"billed"`
	Remaining int64 `json:"rest"`
}

// Settlement ends a doubt.
type Resolution struct {
	Account     Account `json:"account"`
	Incarnation string  `json:"incarnation"`
	// Gone says that the operator knows the holder's process to be gone, so
	// that it cannot wake and spend. Only then does any of the rest go back
	// to the budget; else all of it is burned.
	ProcessDead bool `json:"gone"`
	// Spent is the part of the rest, in tokens, to charge when Gone is set.
	Spent int64 `json:"spent"`
}

// SettledDoubt is the result of a settlement, in tokens.
type ResolvedGrant struct {
	Resolution
	Billed     int64 `json:"billed"`
	WrittenOff int64 `json:"burned"`
	Returned   int64 `json:"returned"`
}

// Doubts lists the grants of lost holders.
func (l *Ledger) InDoubtGrants(ctx context.Context) ([]InDoubtGrant, error) {
	grants, err := l.grants(ctx, grantPrefix)
	if err != nil {
		return nil, fmt.Errorf("list doubts: %w", err)
	}
	doubts := []InDoubtGrant{}
	for _, g := range grants {
		if l.live(g.row.Holder) {
			continue
		}
		billed, _, err := billedSince(ctx, l.table, g)
		if err != nil {
			return nil, fmt.Errorf("list doubts: %w", err)
		}
		doubts = append(doubts, InDoubtGrant{
			Account: g.account, Incarnation: g.incarnation, Holder: g.row.Holder,
			Billed: g.row.Settled + billed, Remaining: g.row.Tokens - g.row.Settled - billed,
		})
	}
	return doubts, nil
}

// SettleDoubt settles the grant of a lost holder, once; asked again it gives
// the first result. It fences the holder's incarnation before it reads the
// bills, so that none is added afterwards: a holder that was only paused and
// wakes can neither draw nor bill, and what it still serves from its grant is
// covered by the burned rest.
func (l *Ledger) ResolveInDoubtGrant(ctx context.Context, s Resolution) (ResolvedGrant, error) {
	for {
		done, settled, err := l.settleDoubt(ctx, s)
		if err != nil {
			return done, fmt.Errorf("settle doubt of %s at %s: %w", s.Incarnation, s.Account, err)
		}
		if settled {
			return done, nil
		}
	}
}

func (l *Ledger) settleDoubt(ctx context.Context, s Resolution) (done ResolvedGrant, settled bool, err error) {
	doneKey := doubtPrefix + s.Account.String() + "/" + s.Incarnation
	rows, err := l.table.Get(ctx, doneKey, grantKey(s.Account, s.Incarnation))
	if err != nil {
		return done, false, err
	}
	if rows[0].Version > 0 {
		done, err = decode[ResolvedGrant](rows[0])
		return done, err == nil, err
	}
	if rows[1].Version == 0 {
		return done, false, ErrNotFound
	}
	g := openGrant{account: s.Account, incarnation: s.Incarnation, key: rows[1]}
	if g.row, err = decode[grantRow](rows[1]); err != nil {
		return done, false, err
	}
	if l.live(g.row.Holder) {
		return done, false, fmt.Errorf("%w: the holder %s is a live member", ErrConflict, g.row.Holder)
	}
	if err := l.fence(ctx, s.Incarnation); err != nil {
		return done, false, err
	}
	return l.closeDoubt(ctx, s, g, doneKey)
}

// fence makes every later transaction of an incarnation conflict.
func (l *Ledger) fence(ctx context.Context, incarnation string) error {
	key := fenceKey(incarnation)
	_, err := platform.CommitSure(ctx, l.table, platform.Txn{
		OpID:   "fence:" + incarnation,
		Conds:  []platform.Cond{{Key: key}},
		Writes: []platform.Write{put(key, true)},
	})
	if platform.IsConflict(err) || platform.KindOf(err) == platform.KindUnknown && ctx.Err() == nil {
		return nil // fenced before, or by a send whose reply was lost
	}
	return err
}

// closeDoubt reads the bills of a fenced grant and closes it.
func (l *Ledger) closeDoubt(ctx context.Context, s Resolution, g openGrant, doneKey string) (done ResolvedGrant, settled bool, err error) {
	rows, err := l.table.Get(ctx, g.row.Source, g.key.Key, fenceKey(s.Incarnation))
	if err != nil {
		return done, false, err
	}
	if rows[1].Version != g.key.Version || rows[2].Version == 0 {
		return done, false, nil // the holder's last write came first, or another operator's
	}
	source, err := decode[sourceRow](rows[0])
	if err != nil {
		return done, false, err
	}
	billed, _, err := billedSince(ctx, l.table, g)
	if err != nil {
		return done, false, err
	}
	rest := g.row.Tokens - g.row.Settled - billed
	done = ResolvedGrant{Resolution: s, Billed: g.row.Settled + billed, WrittenOff: rest}
	if s.ProcessDead {
		if s.Spent < 0 || s.Spent > rest {
			return done, false, fmt.Errorf("%w: %d tokens are in doubt, not %d", ErrConflict, rest, s.Spent)
		}
		done.WrittenOff, done.Returned = s.Spent, rest-s.Spent
	}
	source.Returned += done.Returned
	source.Settled += done.Billed + done.WrittenOff
	source.Burned += done.WrittenOff
	source.Open--
	_, err = platform.CommitSure(ctx, l.table, platform.Txn{
		OpID:  uuid.NewString(),
		Conds: []platform.Cond{at(rows[0]), at(rows[1]), at(rows[2]), {Key: doneKey}},
		Writes: []platform.Write{
			put(rows[0].Key, source), {Key: g.key.Key, Delete: true}, put(doneKey, done),
		},
	})
	if platform.IsConflict(err) || platform.KindOf(err) == platform.KindUnknown && ctx.Err() == nil {
		return done, false, nil
	}
	return done, err == nil, err
}
