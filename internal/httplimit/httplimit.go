// Package httplimit has the bounds on HTTP responses that all clients of a router share.
package httplimit

// MaxHeadBytes bounds the head of a response, of which all is kept. net/http's own bound
// is 10 MiB.
const MaxHeadBytes = 32 << 10
