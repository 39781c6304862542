package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the wait between two sends of one transaction.
const (
	minResendInterval = 20 * time.Millisecond
	maxResendInterval = 2 * time.Second
)

// CommitSure sends txn until its outcome is known or ctx ends. It settles a
// lost reply by sending the same operation id again, which the service
// answers with the first result. A conflict that follows a lost reply may be
// the transaction's own effect after the service forgot the operation id;
// then the error has KindUnknown and the caller reads its rows.
func CommitUntilKnown(ctx context.Context, table Table, txn Txn) (Receipt, error) {
	if err := txn.Validate(); err != nil {
		return Receipt{}, &Error{Kind: KindInvalid, Step: "commit", Err: err}
	}
	inDoubt := false
	send := func() (Receipt, error) {
		receipt, err := table.Commit(ctx, txn)
		switch KindOf(err) {
		case KindUnknown:
			inDoubt = true
			return receipt, err
		case KindUnavailable:
			return receipt, err
		}
		if err != nil {
			return receipt, backoff.Permanent(err)
		}
		return receipt, nil
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minResendInterval
	wait.MaxInterval = maxResendInterval
	receipt, err := backoff.Retry(ctx, send, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	if err != nil && inDoubt {
		return receipt, &Error{Kind: KindUnknown, Step: "commit", Err: unwrapPermanent(err)}
	}
	return receipt, unwrapPermanent(err)
}

// unwrapPermanent removes the marker that stops backoff.Retry.
func unwrapPermanent(err error) error {
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return permanent.Unwrap()
	}
	return err
}
