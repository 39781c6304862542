package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the interval between two sends of one transaction, which grows
// exponentially.
const (
	minResendInterval = 20 * time.Millisecond
	maxResendInterval = 2 * time.Second
)

// CommitUntilKnown sends txn until its outcome is known or ctx ends. After a lost
// response it sends the same operation id again, for which the service returns
// the result of the first send. It returns KindUnknown for any error that follows
// a lost response, because a conflict, for example, can be the effect of the
// transaction itself once the service has forgotten the operation id. The caller
// then reads the rows to find out.
func CommitUntilKnown(ctx context.Context, table Table, txn Txn) (Receipt, error) {
	if err := txn.Validate(); err != nil {
		return Receipt{}, &Error{Kind: KindInvalid, Step: "commit", Err: err}
	}
	outcomeUnknown := false
	send := func() (Receipt, error) {
		receipt, err := table.Commit(ctx, txn)
		switch KindOf(err) {
		case KindUnknown:
			outcomeUnknown = true
			return receipt, err
		case KindUnavailable:
			return receipt, err
		}
		if err != nil {
			return receipt, backoff.Permanent(err)
		}
		return receipt, nil
	}
	resendBackoff := backoff.NewExponentialBackOff()
	resendBackoff.InitialInterval = minResendInterval
	resendBackoff.MaxInterval = maxResendInterval
	receipt, err := backoff.Retry(ctx, send, backoff.WithBackOff(resendBackoff), backoff.WithMaxElapsedTime(0))
	if err != nil && outcomeUnknown {
		return receipt, &Error{Kind: KindUnknown, Step: "commit", Err: unwrapPermanent(err)}
	}
	return receipt, unwrapPermanent(err)
}

// unwrapPermanent removes the wrapper that tells backoff.Retry not to retry.
func unwrapPermanent(err error) error {
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return permanent.Unwrap()
	}
	return err
}
