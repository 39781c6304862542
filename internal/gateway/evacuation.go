package gateway

import (
	"sync"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// evacuations are the rows of the configuration table that evacuate failure domains, as
// far as they are known. A row stays until the store says that it is removed.
type evacuations struct {
	mu   sync.Mutex // guards rows
	rows map[string]evacuationRow
}

// evacuationRow is a row whose name is that of an evacuation.
type evacuationRow struct {
	version   int64
	domain    string
	evacuates bool // the name of the row is valid
	// checked is set once the domain is known, or was logged as unknown.
	checked bool
	value   string // its beginning, for the log
}

// maxLoggedBytes bounds the parts of a row in the log.
const maxLoggedBytes = 128

// logged returns the beginning of a part of a row.
func logged[T string | []byte](part T) string { return string(part[:min(len(part), maxLoggedBytes)]) }

// updateEvacuations takes in rows of the configuration table. If they are complete, a
// row that is missing does not exist any more. Invalid rows are logged once for each
// version.
func (g *Gateway) updateEvacuations(rows []rowstore.Row, complete bool) {
	e := &g.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.rows
	if complete || e.rows == nil {
		e.rows = make(map[string]evacuationRow)
	}
	for _, row := range rows {
		name := row.Key.Name
		if row.Key.Part != "" {
			continue
		}
		if row.Removed {
			delete(e.rows, name)
			continue
		}
		domain, evacuates, err := g.platform.DecodeEvacuation(name, row.Value)
		if !evacuates && err == nil {
			continue
		}
		known, found := old[name]
		if !found || known.version != row.Version {
			known = evacuationRow{version: row.Version, domain: domain, evacuates: evacuates, value: logged(row.Value)}
			if err != nil {
				g.log.Warn("evacuation row is invalid", "row", logged(row.Key.String()), "value", known.value, "evacuates", evacuates, "err", err.Error())
			}
		}
		e.rows[name] = known
	}
	var domains []string
	for _, row := range e.rows {
		if row.evacuates {
			domains = append(domains, row.domain)
		}
	}
	for _, e := range g.endpoints.SetEvacuated(domains) {
		g.pace.Started(e.ID, g.clock.Now())
	}
}

// logUnknownDomains logs each evacuation of a failure domain that no endpoint is in and
// that is not this router's, once. Nothing can be said before the endpoints are known.
func (g *Gateway) logUnknownDomains() {
	if !g.endpoints.Synced() {
		return
	}
	e := &g.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, row := range e.rows {
		if row.checked || !row.evacuates {
			continue
		}
		row.checked = true
		e.rows[name] = row
		if row.domain == g.platformSettings.Load().Domain || g.endpoints.HasDomain(row.domain) {
			continue
		}
		key := rowstore.Key{Table: g.platform.ConfigTable, Name: name}
		g.log.Warn("evacuation of an unknown failure domain", "row", logged(key.String()), "value", row.value)
	}
}
