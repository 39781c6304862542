package gossip

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRowHasOnlyWhatIsToBeStored guards against rows that grow with observations of little use,
// and against one that is not stored although it has become of use.
func TestRowHasOnlyWhatIsToBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		r, cut := f.routers[f.members[0]], f.routers[f.members[2]]
		wanted := "a"
		r.StoreOnly(topic, func(subject string) bool { return strings.Contains(wanted, subject) })
		for _, id := range f.members[:2] {
			f.network.SetPartitioned(id, cut.id, true)
		}
		read := func() []string {
			time.Sleep(3 * time.Second)
			snap, err := f.store.Read(context.Background(), "fleet", "")
			assert.NilError(t, err)
			for _, row := range snap.Rows {
				if strings.HasSuffix(row.Key.Name, r.id.VM) {
					assert.NilError(t, cut.ReadRow(row.Value))
				}
			}
			return f.subjects(cut)
		}
		r.Publish(topic, "b", nil)
		assert.DeepEqual(t, read(), []string{})
		assert.Equal(t, r.stats.written.Get(), uint64(0))
		r.Publish(topic, "a", nil)
		assert.DeepEqual(t, read(), []string{"a"})
		wanted = "abc"
		r.Publish(topic, "c", nil)
		got := strings.Join(read(), "")
		assert.Assert(t, len(got) == 3 && strings.Contains(got, "b") && strings.Contains(got, "c"), got)
	})
}
