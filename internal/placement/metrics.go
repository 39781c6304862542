package placement

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// balancerStats are the counters of a Balancer.
type balancerStats struct {
	choices          map[HomeKind]*metrics.Counter // by expected completion
	spread, returned *metrics.Counter              // prefixes that got and lost a home
}

func newBalancerStats() balancerStats {
	s := balancerStats{choices: make(map[HomeKind]*metrics.Counter), spread: &metrics.Counter{}, returned: &metrics.Counter{}}
	for _, kind := range []HomeKind{NoHome, FirstHomes, NextHome} {
		s.choices[kind] = &metrics.Counter{}
	}
	return s
}

// RegisterMetrics registers the metrics of the balancer in a set.
func (b *Balancer) RegisterMetrics(set *metrics.Set) {
	for kind, counter := range b.stats.choices {
		set.NewGauge(fmt.Sprintf("daisyslip_placement_choices_total{home=%q}", kind), func() float64 { return float64(counter.Get()) })
	}
	for change, counter := range map[string]*metrics.Counter{"more": b.stats.spread, "fewer": b.stats.returned} {
		set.NewGauge(fmt.Sprintf("daisyslip_placement_home_changes_total{change=%q}", change), func() float64 { return float64(counter.Get()) })
	}
	set.NewGauge("daisyslip_placement_prefixes", func() float64 { all, _ := b.countPrefixes(); return float64(all) })
	set.NewGauge("daisyslip_placement_spread_prefixes", func() float64 { _, spread := b.countPrefixes(); return float64(spread) })
}

// countPrefixes returns the number of prefixes with state, and of those with several homes.
func (b *Balancer) countPrefixes() (all, spread int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.prefixes {
		if p.homes > 1 {
			spread++
		}
	}
	return len(b.prefixes), spread
}
