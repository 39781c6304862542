package gateway

import "context"

// logEras logs each new era of the store until ctx ends. What follows from it is done
// by those who read or write rows.
func (g *Gateway) logEras(ctx context.Context) {
	for old := int64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-g.platform.Store.EraEnded(old):
		}
		era := g.platform.Store.Era()
		if old != 0 {
			g.log.Warn("store came back from a copy, tables are read again and lost rows of this router written again", "old_era", old, "era", era, "config", g.ConfigRevision())
		}
		old = era
	}
}
