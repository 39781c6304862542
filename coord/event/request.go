package event

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
)

// requestKey is the key of the request id in a context.
type requestKey struct{}

// WithRequest returns a context that names the request on whose behalf work
// is done, so that steps far below the caller API can record it.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// RequestOf returns the request named by WithRequest, or "".
func RequestOf(ctx context.Context) string {
	id, _ := ctx.Value(requestKey{}).(string)
	return id
}

// keyHashBytes is the length of a key's hash: short, since it only links the
// events of one workspace.
const keyHashBytes = 8

// KeyHash returns a short hash of a caller's idempotency key within its
// workspace, or "" for no key.
func KeyHash(workspace, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(sum[:keyHashBytes])
}
