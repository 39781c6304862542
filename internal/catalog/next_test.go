package catalog

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// randomEdit returns a document with random changes of base, and the set of changed
// entities. The document may be invalid.
func randomEdit(t *rapid.T, base Document) (Document, ChangeSet) {
	base.Workspaces, base.Endpoints = slices.Clone(base.Workspaces), slices.Clone(base.Endpoints)
	var changed ChangeSet
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		name := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "name"))
		if rapid.Bool().Draw(t, "other kinds") {
			changed.OtherKinds = true
			base.Endpoints = append(base.Endpoints, Endpoint{
				Name: "e-" + name, URL: "http://127.0.0.1:1", Models: []string{"m"}, Labels: map[string]string{"pool": "p", "of": name},
			})
			continue
		}
		changed.Workspaces = append(changed.Workspaces, name)
		base.Workspaces = slices.DeleteFunc(base.Workspaces, func(w Workspace) bool { return w.Name == name })
		if rapid.Bool().Draw(t, "put") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			tier := rapid.SampledFrom([]string{"gold", "tin", "not valid"}).Draw(t, "tier")
			base.Workspaces = append(base.Workspaces, Workspace{
				Name: name, Labels: map[string]string{"tier": tier}, Keys: []AccessKey{{Hash: HashKey(key), Budget: DefaultBudget}},
			})
		}
	}
	base.Revision++
	return base, changed
}

// assertSameIndex requires that two indexes return the same results.
func assertSameIndex(t *rapid.T, got, want *Index) {
	assert.Equal(t, got.Revision, want.Revision)
	assert.DeepEqual(t, got.Document(), want.Document())
	assert.DeepEqual(t, got.Models(), want.Models())
	assert.Equal(t, len(got.Members()), len(want.Members()))
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		assert.DeepEqual(t, got.Workspace(name), want.Workspace(name))
		assert.DeepEqual(t, got.ForModel(name, "m"), want.ForModel(name, "m"))
		gotPrincipal, gotFound := got.Authenticate(HashKey(fmt.Sprint(i)))
		wantPrincipal, wantFound := want.Authenticate(HashKey(fmt.Sprint(i)))
		assert.Equal(t, gotFound, wantFound)
		assert.DeepEqual(t, gotPrincipal, wantPrincipal)
	}
}

// TestNextEqualsNewIndex guards against an index built by Next that differs from
// one built by NewIndex, because a changed entity was not indexed again. Over random
// edits, both must accept the same documents and return the same results.
func TestNextEqualsNewIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Document{
			Pools: []Pool{{Name: "p", Kind: PoolModel, Selector: "pool=p"}},
			Rules: []Rule{{Name: "r", Workspaces: "tier=gold", Endpoints: "of in (w1,w2)"}},
		}
		index, err := NewIndex(base)
		assert.NilError(t, err)
		for range 6 {
			document, changed := randomEdit(t, index.Document())
			want, wantErr := NewIndex(document)
			got, gotErr := index.Next(document, changed)
			assert.Equal(t, gotErr == nil, wantErr == nil, "%v, %v", gotErr, wantErr)
			if gotErr != nil {
				continue
			}
			assertSameIndex(t, got, want)
			index = got
		}
	})
}
