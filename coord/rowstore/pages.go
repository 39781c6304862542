package rowstore

import "fmt"

// ReadPages reads the rows of a partition that a store returns in pages. Read returns the
// rows from a name on, all if it is empty, and whether further ones follow the last of
// them. The error wraps ErrUnavailable if the pages are of different eras.
func ReadPages(read func(from string) (page Snapshot, more bool, err error)) (Snapshot, error) {
	all, more, err := read("")
	for err == nil && more && len(all.Rows) > 0 {
		var page Snapshot
		page, more, err = read(all.Rows[len(all.Rows)-1].Key.Name + "\x00")
		switch {
		case err != nil:
		case page.Era != all.Era:
			err = fmt.Errorf("%w: pages of eras %d and %d", ErrUnavailable, all.Era, page.Era)
		case len(page.Rows) == 0:
			more = false
		}
		// The version of the first page stays: a change that is made while the pages are
		// read may be absent from them, and changes since that version include it.
		all.Rows = append(all.Rows, page.Rows...)
	}
	if err != nil {
		return Snapshot{}, err
	}
	return all, nil
}
