// Package coord is the root of the coordination library of daisyslip.
//
// Each subpackage does one job and can be embedded by itself. Most work over the
// interfaces of package platform, a transactional table and an object store:
//
//   - budget: escrow of prepaid token budgets, with a bill a request;
//   - rowstore: the port to a store with partitions and a change feed;
//   - prepaid: escrow of prepaid totals on such a store, without bills;
//   - once: records that let a call run at most once;
//   - revlog: a revisioned configuration log;
//   - lease: leases with fencing numbers;
//   - member: membership by heartbeat and platform list;
//   - bus: requests between the members of a fleet;
//   - event, hlc: typed events under a hybrid logical clock.
//
// No subpackage starts a server or reads the command line.
package coord
