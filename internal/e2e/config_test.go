package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/conf"
)

// frozenTime is longer than the default config.view_bound.
const frozenTime = 4 * time.Second

// TestFrozenRouterServesNoOldRevision freezes a router's process, disables the
// workspace through another router, and lets the frozen one wake. A router
// that serves what it has would answer the first request after that.
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
	result, err := c.Commit(t.Context(), conf.Change{Base: document.Revision, Ops: []conf.Op{entity(t, conf.KindWorkspace, workspaceName, disabled)}})
	assert.NilError(t, err)
	assert.DeepEqual(t, result, conf.RevisionStatus{Revision: document.Revision + 1, WaitingFor: []string{"entry-3"}})

	time.Sleep(frozenTime)
	frozen.signal(syscall.SIGCONT)
	_, after := f.chat(frozen, "after", 2)
	assert.Equal(t, after.status, http.StatusForbidden, "%s", after.body)
	accepted, err := f.client(f.routers[1]).RevisionStatus(t.Context(), result.Revision, 15*time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, accepted, conf.RevisionStatus{Revision: result.Revision, Accepted: true})
}

// TestRouterStartsFromAPeersCopy starts a router while the platform is away.
func TestRouterStartsFromAPeersCopy(t *testing.T) {
	f := startFleet(t, 2, 1, 1_000_000)
	f.faults("", memory.Faults{Outage: true})
	f.faults("entry-3", memory.Faults{Outage: true})
	f.seeds = []string{f.routers[0].Peer}
	late := f.addRouter()
	f.waitReady(late)
	var here, there catalog.Document
	var err error
	there, err = f.client(f.routers[0]).Config(t.Context())
	assert.NilError(t, err)
	here, err = f.client(late).Config(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, here, there)

	// A change after the outage waits for the late router too.
	f.faults("", memory.Faults{})
	f.faults("entry-3", memory.Faults{})
	result, err := f.client(f.routers[1]).Commit(t.Context(), conf.Change{Base: there.Revision, Ops: []conf.Op{
		entity(t, conf.KindRule, "none", catalog.Rule{Endpoints: "nowhere=true"}),
	}})
	assert.NilError(t, err)
	accepted, err := f.client(f.routers[0]).RevisionStatus(t.Context(), result.Revision, 15*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, accepted.Accepted, "%v", accepted)
	here, err = f.client(late).Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, here.Revision, result.Revision)
}
