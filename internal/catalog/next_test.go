package catalog

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// edit is a random document with what an edit of the previous one touched.
func edit(t *rapid.T, d Document) (Document, ChangeSet) {
	d.Workspaces, d.Endpoints = slices.Clone(d.Workspaces), slices.Clone(d.Endpoints)
	var touched ChangeSet
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		name := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "name"))
		if rapid.Bool().Draw(t, "rest") {
			touched.OtherKinds = true
			d.Endpoints = append(d.Endpoints, Endpoint{
				Name: "e-" + name, URL: "http://127.0.0.1:1", Models: []string{"m"}, Labels: map[string]string{"pool": "p", "of": name},
			})
			continue
		}
		touched.Workspaces = append(touched.Workspaces, name)
		d.Workspaces = slices.DeleteFunc(d.Workspaces, func(w Workspace) bool { return w.Name == name })
		if rapid.Bool().Draw(t, "put") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			tier := rapid.SampledFrom([]string{"gold", "tin", "not valid"}).Draw(t, "tier")
			d.Workspaces = append(d.Workspaces, Workspace{
				Name: name, Labels: map[string]string{"tier": tier}, Keys: []AccessKey{{Hash: HashKey(key), Budget: DefaultBudget}},
			})
		}
	}
	d.Revision++
	return d, touched
}

// sameIndex requires that two indexes answer all questions alike.
func sameIndex(t *rapid.T, got, want *Index) {
	assert.Equal(t, got.Revision, want.Revision)
	assert.DeepEqual(t, got.Document(), want.Document())
	assert.DeepEqual(t, got.Models(), want.Models())
	assert.Equal(t, len(got.Members()), len(want.Members()))
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		assert.DeepEqual(t, got.Workspace(name), want.Workspace(name))
		assert.DeepEqual(t, got.ForModel(name, "m"), want.ForModel(name, "m"))
		gotWho, gotFound := got.Authenticate(HashKey(fmt.Sprint(i)))
		wantWho, wantFound := want.Authenticate(HashKey(fmt.Sprint(i)))
		assert.Equal(t, gotFound, wantFound)
		assert.DeepEqual(t, gotWho, wantWho)
	}
}

// TestNextIsNewIndex compares the index that shares with the one made anew,
// over random edits; both take or refuse the same documents.
func TestNextIsNewIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Document{
			Pools: []Pool{{Name: "p", Kind: PoolModel, Selector: "pool=p"}},
			Rules: []Rule{{Name: "r", Workspaces: "tier=gold", Endpoints: "of in (w1,w2)"}},
		}
		index, err := NewIndex(base)
		assert.NilError(t, err)
		for range 6 {
			document, touched := edit(t, index.Document())
			want, wantErr := NewIndex(document)
			got, gotErr := index.Next(document, touched)
			assert.Equal(t, gotErr == nil, wantErr == nil, "%v, %v", gotErr, wantErr)
			if gotErr != nil {
				continue
			}
			sameIndex(t, got, want)
			index = got
		}
	})
}
