// Package coord is the root of daisyslip's coordination library.
//
// Each subpackage can be used by itself. Most of them use the interfaces of package
// platform, a transactional table and an object store:
//
//   - budget: escrow of prepaid token budgets, with a durable bill for each request;
//   - rowstore: the interface of a partitioned store with a change feed;
//   - prepaid: escrow of prepaid token totals on such a store, without bills;
//   - once: records that ensure that a call is executed at most once;
//   - revlog: a log of numbered configuration revisions;
//   - lease: leases with fencing numbers;
//   - member: membership by heartbeats and the platform's list of VMs;
//   - bus: requests between the members of a fleet;
//   - event, hlc: typed events, stamped by a hybrid logical clock.
//
// No subpackage starts a server or reads command line flags.
package coord
