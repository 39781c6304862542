package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// freezeDuration exceeds the default config.view_bound, after which a router must
// not use its view of the configuration without confirming it.
const freezeDuration = 4 * time.Second

// TestFrozenRouterServesNoOldRevision guards against serving from an outdated
// configuration. It suspends a router's process, disables the workspace through
// another router and resumes the process. A router that used its cached
// configuration without confirming it would serve the first request after that.
func TestFrozenRouterServesNoOldRevision(t *testing.T) {
	f := startFleet(t, 3, 1, 1_000_000)
	frozen := f.routers[2]
	_, before := f.chat(frozen, "before", 2)
	assert.Equal(t, before.status, http.StatusOK)
	frozen.signal(syscall.SIGSTOP)

	c := f.client(f.routers[0])
	document, err := c.Config(t.Context())
	assert.NilError(t, err)
	disabled := document.Workspaces[0]
	disabled.Disabled = true
	result, err := c.Commit(t.Context(), fleetconfig.Change{Base: document.Revision, Ops: []fleetconfig.Op{putEntityOp(t, fleetconfig.KindWorkspace, workspaceName, disabled)}})
	assert.NilError(t, err)
	assert.DeepEqual(t, result, fleetconfig.RevisionStatus{Revision: document.Revision + 1, WaitingFor: []string{"entry-3"}})

	time.Sleep(freezeDuration)
	frozen.signal(syscall.SIGCONT)
	_, after := f.chat(frozen, "after", 2)
	assert.Equal(t, after.status, http.StatusForbidden, "%s", after.body)
	status, err := f.client(f.routers[1]).RevisionStatus(t.Context(), result.Revision, 15*time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, status, fleetconfig.RevisionStatus{Revision: result.Revision, Accepted: true})
}

// TestRouterStartsFromPeerDuringOutage starts a router during a platform outage. It
// must get the configuration from a peer, and a change made after the outage must
// wait until the new router has accepted it too.
func TestRouterStartsFromPeerDuringOutage(t *testing.T) {
	f := startFleet(t, 2, 1, 1_000_000)
	f.setPlatformFaults("", memory.Faults{Outage: true})
	f.setPlatformFaults("entry-3", memory.Faults{Outage: true})
	f.peerSeeds = []string{f.routers[0].Peer}
	lateRouter := f.addRouter()
	f.waitReady(lateRouter)
	var lateDocument, document catalog.Document
	var err error
	document, err = f.client(f.routers[0]).Config(t.Context())
	assert.NilError(t, err)
	lateDocument, err = f.client(lateRouter).Config(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, lateDocument, document)

	// A change after the outage also waits for the late router.
	f.setPlatformFaults("", memory.Faults{})
	f.setPlatformFaults("entry-3", memory.Faults{})
	result, err := f.client(f.routers[1]).Commit(t.Context(), fleetconfig.Change{Base: document.Revision, Ops: []fleetconfig.Op{
		putEntityOp(t, fleetconfig.KindRule, "none", catalog.Rule{Endpoints: "nowhere=true"}),
	}})
	assert.NilError(t, err)
	status, err := f.client(f.routers[0]).RevisionStatus(t.Context(), result.Revision, 15*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, status.Accepted, "%v", status)
	lateDocument, err = f.client(lateRouter).Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, lateDocument.Revision, result.Revision)
}
