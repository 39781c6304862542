package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the requests on one connection. Their hashes take 8 KiB at most, and a
// new connection is made for one request in so many.
const maxCarried = 1024

// carriedIDs holds the ids of the requests that a connection has carried, as hashes. Ids
// with the same hash are taken for the same id.
type carriedIDs struct{ hashes []uint64 }

// add adds the id of a request that is about to be sent.
func (c *carriedIDs) add(id string) { c.hashes = append(c.hashes, xxhash.Sum64String(id)) }

// contains reports whether a request with the id may have been sent.
func (c *carriedIDs) contains(id string) bool {
	return len(c.hashes) > 0 && slices.Contains(c.hashes, xxhash.Sum64String(id))
}

// len returns the number of requests that were sent.
func (c *carriedIDs) len() int { return len(c.hashes) }

// full reports whether the connection may carry no further request.
func (c *carriedIDs) full() bool { return len(c.hashes) >= maxCarried }
