package prepaid

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/bus"
)

// Member is a router that may be a lender.
type Member struct {
	ID     bus.ID
	Domain string // failure domain
	// Weight is how often the member is a lender, relative to the others.
	Weight float64
}

// LenderWeight returns the weight of a member with a processing capacity, in cores; 0
// means that the capacity is unknown. It grows with the square of the capacity, so that
// the lenders of a fleet of unequal VMs are mostly large ones.
func LenderWeight(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return cores * cores
}

const (
	// tokensPerLender is the limit, in tokens, for which a workspace has one
	// lender: about 60 requests with long prompts. With fewer tokens per lender,
	// a single request would be a large part of a grant.
	tokensPerLender = 300_000
	// minLenders is the least number of lenders of a workspace, so that the death
	// of one leaves another that has a grant.
	minLenders = 2
	// workspacesPerCandidate is the number of workspaces for which a failure domain
	// has one lender candidate. Other members neither hold grants nor send
	// heartbeats.
	workspacesPerCandidate = 8
	// minCandidates is the least number of lender candidates of a failure domain.
	minCandidates = 2
)

// LenderCount returns the number of lenders of a workspace with a limit, in tokens,
// if the members are in a number of failure domains. It is one per domain at most.
func LenderCount(limit int64, domains int) int {
	wanted := int(min(max(limit/tokensPerLender, minLenders), math.MaxInt32))
	return min(wanted, max(domains, 1))
}

// RankLenders returns the members in the order in which they are lenders of a
// workspace: first one candidate of each failure domain, then the next candidates of
// each domain. All routers with the same members get the same order, and a member
// that comes or goes moves few workspaces. workspaces is the number of workspaces
// with a limit.
func RankLenders(members []Member, workspace string, workspaces int) []Member {
	byDomain := make(map[string][]Member)
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	domains := make([]string, 0, len(byDomain))
	candidates := max(minCandidates, (workspaces+workspacesPerCandidate-1)/workspacesPerCandidate)
	for domain, list := range byDomain {
		domains = append(domains, domain)
		sortByScore(list, "candidate")
		list = list[:min(candidates, len(list))]
		sortByScore(list, workspace)
		byDomain[domain] = list
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashOf(workspace, a), hashOf(workspace, b)), cmp.Compare(a, b))
	})
	var ranked []Member
	for i := range candidates {
		for _, domain := range domains {
			if i < len(byDomain[domain]) {
				ranked = append(ranked, byDomain[domain][i])
			}
		}
	}
	return ranked
}

// sortByScore sorts members by descending weighted rendezvous score for a subject.
func sortByScore(members []Member, subject string) {
	score := func(m Member) float64 {
		// The hash as a number between 0 and 1, excluding both. A float64 holds 53 bits.
		uniform := (float64(hashOf(subject, m.ID.VM)>>11) + 0.5) / (1 << 53)
		return -max(m.Weight, minWeight) / math.Log(uniform)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID.VM, b.ID.VM))
	})
}

// minWeight is the least weight of a member that is used.
const minWeight = 1e-6

// hashOf returns a hash of two names.
func hashOf(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(a)
	digest.WriteString("\x00")
	digest.WriteString(b)
	return digest.Sum64()
}

// borrowingOrder returns the members that a router asks for tokens, in order, given
// the ranking of a workspace and its number of lenders: the lender of the router's own
// domain, or else one that differs between routers, and then the other lenders.
func borrowingOrder(ranked []Member, lenders int, self Member) []Member {
	lenders = min(lenders, len(ranked))
	order := make([]Member, 0, lenders)
	start := 0
	if lenders > 0 {
		start = int(hashOf("start", self.ID.VM) % uint64(lenders))
	}
	for i := range lenders {
		if ranked[i].Domain == self.Domain {
			start = i
		}
	}
	for i := range lenders {
		order = append(order, ranked[(start+i)%lenders])
	}
	return order
}
