package capacity

import (
	"fmt"
	"math"
)

// Roles of the fleet. Every daemon plays all of them; some have one active
// holder a domain or a budget.
const (
	RoleEntry    Role = "entry router"
	RoleBudget   Role = "budget holder"
	RoleBilling  Role = "billing"
	RoleCalls    Role = "at-most-once calls"
	RoleConfig   Role = "configuration follower"
	RoleOperator Role = "operator API"
	RoleMember   Role = "member and peer link"
	RoleEndpoint Role = "endpoint view"
	RoleTimeline Role = "time line"
)

// Parameters of the plans, which are not built.
const (
	// planLinger is how long a bill waits for others that share its row, in
	// seconds, and planBillBytes the size of a bill in a row that names each
	// account once and holds request ids as bytes, after base64.
	planLinger    = 1.0
	planBillBytes = 60
	// planDrawBytes is the size of a budget's row within such a transaction.
	planDrawBytes = 150
	// planCommitBytes is the size of a transaction's frame, both ways.
	planCommitBytes = 700
	// planHorizon is the spending that a grant at a budget's home covers, in
	// seconds.
	planHorizon = 600
	// planRowSeconds is the time for which a relay spends one member's row.
	planRowSeconds = 0.3
	// planReportInterval is the time between two load reports of an endpoint
	// to the relay of its failure domain, in seconds, and planReportBytes
	// the size of one.
	planReportInterval = 2.0
	planReportBytes    = 16
)

// terms formats a product.
func terms(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// requests are the lines of the data path: the callers' requests themselves.
func (m *model) requests() {
	r := m.target.requestsPerDaemon()
	tokens := m.target.TokensPerSec / m.target.Daemons
	streams := tokens * m.target.TokenGapSeconds
	request, token, stream := m.slope(CPUPerRequest), m.slope(CPUPerToken), m.slope(MemoryPerStream)
	m.add(
		Line{
			Role: RoleEntry, Item: "take, pay for and answer requests", Resource: ResourceDataPath, Value: r * request.Slope,
			Formula:   terms("%s requests/s × %s core s", number(r), number(request.Slope)),
			Mechanism: "one goroutine a request, a bound on those in flight",
		},
		Line{
			Role: RoleEntry, Item: "relay tokens", Resource: ResourceDataPath, Value: tokens * token.Slope,
			Formula:   terms("%s tokens/s × %s core s", number(tokens), number(token.Slope)),
			Mechanism: "one event in, one event out, flushed", PlannedValue: 2 * tokens * token.Slope,
			Plan: "a home a budget: the router that took the request forwards it whole, so each token is relayed twice; messages about tokens alone would break the bound of control bytes",
		},
		Line{
			Role: RoleEntry, Item: "open streams", Resource: ResourceMemory, Value: streams * stream.Slope,
			Formula:   terms("%s tokens/s × %s s × %s bytes", number(tokens), number(m.target.TokenGapSeconds), number(stream.Slope)),
			Mechanism: "bounded by caller.max_in_flight",
		},
	)
}

// budgets are the lines of grants and bills. The balancer sprays a budget's
// requests over all daemons, so a grant that goes back after its idle time is
// hardly ever there for the next request of a small budget.
func (m *model) budgets() {
	t := m.target
	r := t.requestsPerDaemon()
	idle := m.settings.Budget.SmallHoldings.IdleAfter.Seconds()
	linger := m.settings.Budget.Linger.Seconds()
	held := min(r*idle, t.Budgets)
	homes := t.Budgets / t.Daemons
	memory, cpu := m.slope(MemoryPerBudget), m.slope(ReserveCPUPerRequest)
	grouped, drawn := m.slope(PlatformBytesPerRequest), m.slope(PlatformBytesPerDraw)
	drawReads, drawWrites := m.slope(RowsReadPerDraw), m.slope(RowsWrittenPerDraw)
	rows := func(linger float64) float64 { return r / (1 + r*linger) } // a daemon and second
	reuse := min(1, idle*t.RequestsPerSec/t.Budgets/t.Daemons)
	draws := r * (1 - reuse) // a daemon and second
	drawCPU := max(0, m.slope(CPUPerDraw).Slope-m.slope(CPUPerRequest).Slope)
	const drawAndReturn = 2
	const homePlan = "a home a budget, by rendezvous over live VMs"
	homeDraws := t.Budgets / planHorizon / t.Daemons
	m.add(
		Line{
			Role: RoleBudget, Item: "grants held", Resource: ResourceMemory, Value: held * memory.Slope,
			Formula:   terms("%s requests/s × %s s until idle × %s bytes", number(r), number(idle), number(memory.Slope)),
			Mechanism: "idle grants go back", PlannedValue: homes * memory.Slope,
			Plan: terms("%s: %s budgets a daemon", homePlan, number(homes)),
		},
		Line{
			Role: RoleBudget, Item: "reserve and settle", Resource: ResourceCPU, Value: r * cpu.Slope,
			Formula:   terms("%s requests/s × %s core s", number(r), number(cpu.Slope)),
			Mechanism: "one goroutine a busy budget; no lock over a call",
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceCPU, Value: draws * drawAndReturn * drawCPU,
			Formula:   terms("%s requests/s that find no grant × (draw + return) × %s core s (beyond the request itself)", number(draws), number(drawCPU)),
			Mechanism: "one transaction a draw", PlannedValue: homeDraws * drawCPU, Plan: homePlan,
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceTableWrites,
			Value:        t.Daemons * draws * drawAndReturn * (drawWrites.Slope - 1),
			Formula:      terms("%s daemons × %s requests/s that find no grant × (draw + return) × %s rows", number(t.Daemons), number(draws), number(drawWrites.Slope-1)),
			Mechanism:    "nothing at this size: the balancer sprays 110,000 budgets over all daemons",
			PlannedValue: t.Daemons * homeDraws,
			Plan:         terms("%s; a row that holds budget and grant, written each %d s of spending", homePlan, planHorizon),
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceTableReads,
			Value:     t.Daemons * draws * drawAndReturn * drawReads.Slope,
			Formula:   terms("%s daemons × %s requests/s × (draw + return) × %s rows", number(t.Daemons), number(draws), number(drawReads.Slope)),
			Mechanism: "as above", PlannedValue: t.Daemons * homeDraws,
			Plan: "the home knows its row, and reads it again after a conflict; counted as one read a draw",
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceControlBytes, Value: draws * drawAndReturn * drawn.Slope,
			Formula:   terms("%s requests/s × (draw + return) × %s bytes (with the bill)", number(draws), number(drawn.Slope)),
			Mechanism: "as above", PlannedValue: homeDraws * planDrawBytes,
			Plan: terms("%s; draws ride in the transaction of the bills, reckoned as %d bytes each", homePlan, planDrawBytes),
		},
		Line{
			Role: RoleBilling, Item: "bills", Resource: ResourceTableWrites, Value: t.Daemons * rows(linger),
			Formula:   terms("%s daemons × %s requests/s / (1 + %s × %s s linger)", number(t.Daemons), number(r), number(r), number(linger)),
			Mechanism: "group commit in each daemon, which groups little at this rate", PlannedValue: t.Daemons * rows(planLinger),
			Plan: terms("budget.linger of %s s: only the last piece of an answer waits, one gap of several hundred", number(planLinger)),
		},
		Line{
			Role: RoleBilling, Item: "bills", Resource: ResourceControlBytes, Value: r * grouped.Slope,
			Formula:   terms("%s requests/s × %s bytes (many to a row)", number(r), number(grouped.Slope)),
			Mechanism: "JSON rows in JSON bodies", PlannedValue: r*planBillBytes + rows(planLinger)*planCommitBytes,
			Plan: terms("rows that name each account once and hold ids as bytes: reckoned as %d bytes a bill and %d a transaction", planBillBytes, planCommitBytes),
		},
		Line{
			Role: RoleBilling, Item: "rows of callers' keys", Resource: ResourceTableWrites, Value: t.RequestsPerSec * (1 - t.CallShare) * t.KeyShare,
			Formula:   terms("%s requests/s × %s with a key (assumed) × 1 row", number(t.RequestsPerSec*(1-t.CallShare)), number(t.KeyShare)),
			Mechanism: "one row a key", PlannedValue: 0,
			Plan: "the home of the budget also holds its keys: in memory, and in the bill rows, which its successor reads before it serves",
		},
	)
}

// calls are the lines of calls that may not be repeated.
func (m *model) calls() {
	calls := m.target.RequestsPerSec * m.target.CallShare
	m.add(
		Line{
			Role: RoleCalls, Item: "claim and finish", Resource: ResourceTableWrites, Value: 2 * calls,
			Formula:   terms("%s requests/s × %s calls (assumed) × 2 rows", number(m.target.RequestsPerSec), number(m.target.CallShare)),
			Mechanism: "a row a call, inserted before it leaves", PlannedValue: calls,
			Plan: "finishes ride in the rows of bills; claims stay a row each, since one that waits for others makes the caller wait: this line needs a table that gives more writes",
		},
	)
}

// configuration are the lines of following and changing the configuration.
func (m *model) configuration() {
	t := m.target
	rate := t.changesPerSec()
	workspace, endpoint := m.slope(MemoryPerWorkspace), m.slope(MemoryPerEndpoint)
	cpu, bytes, reads := m.slope(CPUPerChange), m.slope(PlatformBytesPerChange), m.slope(RowsReadPerChange)
	indexed := m.slope(IndexCPUPerWorkspace).Slope * t.Workspaces
	m.add(
		Line{
			Role: RoleConfig, Item: "workspaces in force", Resource: ResourceMemory, Value: t.Workspaces * workspace.Slope,
			Formula: terms("%s × %s bytes", number(t.Workspaces), number(workspace.Slope)), Mechanism: "one immutable index a revision",
		},
		Line{
			Role: RoleConfig, Item: "endpoints in force", Resource: ResourceMemory, Value: t.Endpoints * endpoint.Slope,
			Formula: terms("%s × %s bytes", number(t.Endpoints), number(endpoint.Slope)), Mechanism: "one immutable index a revision",
		},
		Line{
			Role: RoleConfig, Item: "second index while a revision is put in force", Resource: ResourceMemory,
			Value:   t.Workspaces*workspace.Slope + t.Endpoints*endpoint.Slope,
			Formula: "as the two lines above, at most", Mechanism: "the new index shares with the old one, which is collected afterwards",
		},
		Line{
			Role: RoleConfig, Item: "apply changes, small configuration", Resource: ResourceCPU, Value: rate * cpu.Slope,
			Formula: terms("%s changes/s (ten times the mean) × %s core s", number(rate), number(cpu.Slope)), Mechanism: "deltas of a revisioned log",
		},
		Line{
			Role: RoleConfig, Item: "index changes of workspaces", Resource: ResourceCPU, Value: rate * indexed,
			Formula:   terms("%s changes/s × %s workspaces × %s core s", number(rate), number(t.Workspaces), number(m.slope(IndexCPUPerWorkspace).Slope)),
			Mechanism: "an index that shares what a change does not touch",
		},
		Line{
			Role: RoleConfig, Item: "read changes", Resource: ResourceControlBytes, Value: rate * bytes.Slope,
			Formula: terms("%s changes/s × %s bytes", number(rate), number(bytes.Slope)), Mechanism: "deltas of a revisioned log",
		},
		Line{
			Role: RoleConfig, Item: "read changes", Resource: ResourceTableReads, Value: t.Daemons * rate * reads.Slope,
			Formula:   terms("%s daemons × %s changes/s × %s rows", number(t.Daemons), number(rate), number(reads.Slope)),
			Mechanism: "pushed over the peer link; the table is the fallback",
		},
		Line{
			Role: RoleOperator, Item: "commit changes", Resource: ResourceTableWrites, Value: rate * 2,
			Formula: terms("%s changes/s × 2 rows (head and revision)", number(rate)), Mechanism: "one transaction a change",
		},
	)
}

// relayFollowers is the most routers that one relay serves, and
// relayRowSeconds the time for which a relay that reads all members spends one
// row: the constants of internal/conf and coord/member.
const (
	relayFollowers  = 12
	relayRowSeconds = 0.1
)

// relaying is how the daemons of a fleet follow the table.
type relaying struct {
	// readers is the number of daemons that read the table, and rows what
	// each reads a second.
	readers float64
	rows    float64
	// followers is the number of daemons that ask one reader.
	followers float64
	carrier   string
}

// relaying returns how a fleet of the target's size follows the table: each
// daemon by itself, or by relays.
func (m *model) relaying() relaying {
	t := m.target
	peers := t.Daemons - 1
	refresh, polls := m.settings.Member.RefreshInterval.Seconds(), 1/m.settings.Config.PollInterval.Seconds()
	if t.Daemons <= float64(m.settings.Config.RelayThreshold) {
		return relaying{readers: t.Daemons, rows: peers/refresh + polls, carrier: "each daemon reads"}
	}
	inDomain := math.Ceil(t.Daemons / t.FailureDomains)
	relays := math.Floor((inDomain + relayFollowers) / (relayFollowers + 1))
	return relaying{
		readers: t.FailureDomains * relays, rows: min(peers/refresh, 1/relayRowSeconds) + polls, followers: inDomain/relays - 1,
		carrier: terms("%s relays a failure domain read the table, the others ask them", number(relays)),
	}
}

// members are the lines of the peer link and of membership, for a daemon that
// reads the table.
func (m *model) members() {
	t := m.target
	peers := t.Daemons - 1
	by := m.relaying()
	cpu, memory, relay := m.slope(PeerCPUPerIdleSecond), m.slope(MemoryPerPeer), m.slope(RelayBytesPerFollower)
	beat := m.settings.Member.HeartbeatInterval.Seconds()
	perRow := m.slope(PlatformBytesPerIdleSecond).Slope * m.settings.Member.RefreshInterval.Seconds()
	m.add(
		Line{
			Role: RoleMember, Item: "process at rest, and connections to all peers", Resource: ResourceMemory,
			Value:     memory.Intercept + memory.Slope*peers,
			Formula:   terms("%s + %s × %s peers bytes", number(memory.Intercept), number(memory.Slope), number(peers)),
			Mechanism: "a connection a peer in use, closed when idle", PlannedValue: memory.Intercept + memory.Slope*t.Daemons/t.FailureDomains,
			Plan: "requests to peers outside the own failure domain go by its relays",
		},
		Line{
			Role: RoleMember, Item: "at rest", Resource: ResourceCPU, Value: cpu.Intercept + cpu.Slope*peers,
			Formula:   terms("%s + %s × %s peers cores", number(cpu.Intercept), number(cpu.Slope), number(peers)),
			Mechanism: "one goroutine a duty; pings on idle links", PlannedValue: cpu.Intercept + cpu.Slope*t.Daemons/t.FailureDomains,
			Plan: "requests to peers outside the own failure domain go by its relays",
		},
		Line{
			Role: RoleMember, Item: "relay views to followers", Resource: ResourceControlBytes, Value: by.followers * relay.Slope,
			Formula: terms("%s followers × %s bytes/s, at a relay", number(by.followers), number(relay.Slope)), Mechanism: by.carrier,
		},
		Line{
			Role: RoleMember, Item: "read members and the head", Resource: ResourceControlBytes, Value: by.rows * perRow,
			Formula: terms("%s rows/s × %s bytes, at a relay", number(by.rows), number(perRow)), Mechanism: by.carrier,
			PlannedValue: (1/planRowSeconds + 1/m.settings.Config.PollInterval.Seconds()) * perRow,
			Plan:         terms("a relay spends %s s on each member's row", number(planRowSeconds)),
		},
		Line{
			Role: RoleMember, Item: "read members and the head", Resource: ResourceTableReads, Value: by.readers * by.rows,
			Formula: terms("%s readers × %s rows/s (settings and constants)", number(by.readers), number(by.rows)), Mechanism: by.carrier,
		},
		Line{
			Role: RoleMember, Item: "heartbeats", Resource: ResourceTableWrites, Value: t.Daemons / beat,
			Formula:   terms("%s daemons / %s s", number(t.Daemons), number(beat)),
			Mechanism: "one row a daemon, written rarely; liveness is judged on the peer link",
		},
	)
}

// endpoints are the lines of watching the endpoints' load.
func (m *model) endpoints() {
	t := m.target
	inUse := min(t.Endpoints, t.requestsPerDaemon()*m.settings.Route.ActiveTime.Seconds())
	cpu, report := m.slope(CPUPerEndpointInUse), m.slope(BytesPerLoadReport)
	reports := t.Endpoints / t.FailureDomains / planReportInterval
	m.add(
		Line{
			Role: RoleEndpoint, Item: "poll load reports", Resource: ResourceCPU, Value: inUse * cpu.Slope,
			Formula:   terms("%s endpoints in use × %s cores", number(inUse), number(cpu.Slope)),
			Mechanism: "only endpoints in use are polled", PlannedValue: reports * planReportInterval * cpu.Slope / inDomainOf(t),
			Plan: "the daemons of a failure domain share the polls of its endpoints and tell each other",
		},
		Line{
			Role: RoleEndpoint, Item: "poll load reports", Resource: ResourceControlBytes,
			Value:     inUse / m.settings.Route.PollInterval.Seconds() * report.Slope,
			Formula:   terms("%s endpoints in use / %s s × %s bytes", number(inUse), number(m.settings.Route.PollInterval.Seconds()), number(report.Slope)),
			Mechanism: "as above", PlannedValue: t.Endpoints / planReportInterval * planReportBytes / inDomainOf(t),
			Plan: "packed reports of changed endpoints only, shared within the domain",
		},
	)
}

// inDomainOf is the number of daemons of one failure domain.
func inDomainOf(t Target) float64 { return t.Daemons / t.FailureDomains }

// timeLine are the lines of recording and copying events.
func (m *model) timeLine() {
	r := m.target.requestsPerDaemon()
	perRequest, cpu, memory := m.slope(EventsPerRequest), m.slope(CPUPerEvent), m.slope(MemoryPerEvent)
	s := m.settings.Timeline
	kept := float64(s.Events + s.RetainedEvents + s.CopiedEvents)
	m.add(
		Line{
			Role: RoleTimeline, Item: "record events", Resource: ResourceCPU, Value: r * perRequest.Slope * cpu.Slope,
			Formula:   terms("%s requests/s × %s events × %s core s", number(r), number(perRequest.Slope), number(cpu.Slope)),
			Mechanism: "one lock, held for a copy",
		},
		Line{
			Role: RoleTimeline, Item: "events kept", Resource: ResourceMemory, Value: kept * memory.Slope,
			Formula:   terms("%s events × %s bytes", number(kept), number(memory.Slope)),
			Mechanism: terms("rings of fixed size; requests of the last %s s", number(float64(s.Events)/(r*perRequest.Slope))),
		},
		Line{
			Role: RoleTimeline, Item: "copies to a peer", Resource: ResourceControlBytes, Value: s.MaxCopyBytesPerSecond,
			Formula: "timeline.copy_bytes_per_second", Mechanism: "bounded share; what matters most goes first",
		},
	)
}
