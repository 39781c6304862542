package event

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
)

// requestKey is the context key of the id of the caller's request.
type requestKey struct{}

// WithRequest returns a context with the id of the caller's request on whose behalf
// work is done. Code to which the request itself is not passed can record
// events under this id.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// RequestOf returns the request id that WithRequest stored in ctx, or "".
func RequestOf(ctx context.Context) string {
	id, _ := ctx.Value(requestKey{}).(string)
	return id
}

// keyHashBytes is the length of a key's hash before hex encoding. A short hash is
// sufficient, since it only links events of one workspace.
const keyHashBytes = 8

// KeyHash returns a short hex hash of a workspace and a caller's idempotency key, or
// "" for an empty key. Events carry it instead of the key.
func KeyHash(workspace, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(sum[:keyHashBytes])
}
