package gossip

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRowHasOnlyWhatIsToBeStored guards against rows that grow with observations of little use,
// against one that is not stored although it has become of use, and against own ones that
// a router that reaches only the store keeps for itself.
func TestRowHasOnlyWhatIsToBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		r, other, cut := f.routers[f.members[0]], f.routers[f.members[1]], f.routers[f.members[2]]
		wanted := "a"
		r.StoreOnly(topic, func(subject string) bool { return strings.Contains(wanted, subject) })
		for _, id := range f.members[:2] {
			f.network.SetPartitioned(id, cut.id, true)
		}
		read := func() string {
			time.Sleep(3 * time.Second)
			snap, err := f.store.Read(context.Background(), "fleet", "")
			assert.NilError(t, err)
			for _, row := range snap.Rows {
				if strings.HasSuffix(row.Key.Name, r.id.VM) {
					assert.NilError(t, cut.ReadRow(row.Value))
				}
			}
			got := f.subjects(cut)
			slices.Sort(got)
			return strings.Join(got, "")
		}
		other.Publish(topic, "b", nil)
		assert.Equal(t, read(), "")
		assert.Equal(t, r.stats.written.Get(), uint64(0))
		r.Publish(topic, "o", nil)
		assert.Equal(t, read(), "o", "an own one")
		other.Publish(topic, "a", nil)
		assert.Equal(t, read(), "ao")
		wanted = "abc"
		other.Publish(topic, "c", nil)
		assert.Equal(t, read(), "abco")
	})
}
