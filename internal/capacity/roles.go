package capacity

import (
	"fmt"
	"math"
)

// Roles of daemons. Every daemon has all of them. Some are active in only one daemon per
// failure domain or per budget.
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

// Parameters of the alternative design that the tables show in the column "planned". No
// code implements it. Each budget has a home there: one daemon that holds its grant and
// to which the others forward its requests.
const (
	// planLingerSeconds is how long a bill waits for others that share its row.
	// planBillBytes is the size of a bill in a row that names each account once and
	// holds request ids as bytes, after base64 encoding.
	planLingerSeconds = 1.0
	planBillBytes     = 60
	// planDrawBytes is the size of a budget's row in the transaction of the bills.
	planDrawBytes = 150
	// planCommitBytes is the size of a transaction without its rows, request and
	// response together.
	planCommitBytes = 700
	// planHorizonSeconds is the time whose spending a grant at a budget's home
	// covers, so a grant is drawn once in that time.
	planHorizonSeconds = 600
	// planRelaySecondsPerRow replaces relaySecondsPerRow under the plan.
	planRelaySecondsPerRow = 0.3
	// planReportIntervalSeconds is the time between two load reports of an endpoint
	// to the relay of its failure domain, and planReportBytes the size of one.
	planReportIntervalSeconds = 2.0
	planReportBytes           = 16
)

// sprintf shortens fmt.Sprintf, which most texts of lines use.
func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// addRequestLines adds the lines of the data path: of the callers' requests themselves.
func (m *costModel) addRequestLines() {
	requestRate := m.target.requestsPerDaemon()
	tokenRate := m.target.TokensPerSec / m.target.Daemons
	openStreams := tokenRate * m.target.TokenGapSeconds
	request, token, stream := m.fitOf(CPUPerRequest), m.fitOf(CPUPerToken), m.fitOf(MemoryPerStream)
	m.add(
		Line{
			Role: RoleEntry, Item: "take, pay for and answer requests", Resource: ResourceDataPath, Value: requestRate * request.Slope,
			Formula:   sprintf("%s requests/s × %s core s", formatNumber(requestRate), formatNumber(request.Slope)),
			Mechanism: "one goroutine a request, a bound on those in flight",
		},
		Line{
			Role: RoleEntry, Item: "relay tokens", Resource: ResourceDataPath, Value: tokenRate * token.Slope,
			Formula:   sprintf("%s tokens/s × %s core s", formatNumber(tokenRate), formatNumber(token.Slope)),
			Mechanism: "one event in, one event out, flushed", PlannedValue: 2 * tokenRate * token.Slope,
			Plan: "a home a budget: the router that took the request forwards it whole, so each token is relayed twice; messages about tokens alone would break the bound of control bytes",
		},
		Line{
			Role: RoleEntry, Item: "open streams", Resource: ResourceMemory, Value: openStreams * stream.Slope,
			Formula:   sprintf("%s tokens/s × %s s × %s bytes", formatNumber(tokenRate), formatNumber(m.target.TokenGapSeconds), formatNumber(stream.Slope)),
			Mechanism: "bounded by caller.max_in_flight",
		},
	)
}

// addBudgetLines adds the lines of grants and bills. The load balancer spreads the requests
// of a budget over all daemons, and a daemon returns a grant after its idle time. So the
// next request of a small budget hardly ever reaches a daemon that still has a grant.
// The slopes of a draw include the request and its bill, which is alone in a row. Other
// lines count these, so the processor time of a request and one written row are
// subtracted; bytes and rows read are not.
func (m *costModel) addBudgetLines() {
	t := m.target
	requestRate := t.requestsPerDaemon()
	idleAfter := m.settings.Budget.SmallHoldings.IdleAfter.Seconds()
	linger := m.settings.Budget.Linger.Seconds()
	openGrants := min(requestRate*idleAfter, t.Budgets)
	budgetsPerHome := t.Budgets / t.Daemons
	memory, cpu := m.fitOf(MemoryPerBudget), m.fitOf(ReserveCPUPerRequest)
	groupedBill, draw := m.fitOf(PlatformBytesPerRequest), m.fitOf(PlatformBytesPerDraw)
	drawReads, drawWrites := m.fitOf(RowsReadPerDraw), m.fitOf(RowsWrittenPerDraw)
	billRows := func(linger float64) float64 { return requestRate / (1 + requestRate*linger) } // per daemon and second
	reuseShare := min(1, idleAfter*t.RequestsPerSec/t.Budgets/t.Daemons)
	drawRate := requestRate * (1 - reuseShare) // per daemon and second
	drawCPU := max(0, m.fitOf(CPUPerDraw).Slope-m.fitOf(CPUPerRequest).Slope)
	const drawAndReturn = 2
	const homePlan = "a home a budget, by rendezvous over live VMs"
	homeDrawRate := t.Budgets / planHorizonSeconds / t.Daemons
	m.add(
		Line{
			Role: RoleBudget, Item: "grants held", Resource: ResourceMemory, Value: openGrants * memory.Slope,
			Formula:   sprintf("%s requests/s × %s s until idle × %s bytes", formatNumber(requestRate), formatNumber(idleAfter), formatNumber(memory.Slope)),
			Mechanism: "idle grants go back", PlannedValue: budgetsPerHome * memory.Slope,
			Plan: sprintf("%s: %s budgets a daemon", homePlan, formatNumber(budgetsPerHome)),
		},
		Line{
			Role: RoleBudget, Item: "reserve and settle", Resource: ResourceCPU, Value: requestRate * cpu.Slope,
			Formula:   sprintf("%s requests/s × %s core s", formatNumber(requestRate), formatNumber(cpu.Slope)),
			Mechanism: "one goroutine a busy budget; no lock over a call",
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceCPU, Value: drawRate * drawAndReturn * drawCPU,
			Formula:   sprintf("%s requests/s that find no grant × (draw + return) × %s core s (beyond the request itself)", formatNumber(drawRate), formatNumber(drawCPU)),
			Mechanism: "one transaction a draw", PlannedValue: homeDrawRate * drawCPU, Plan: homePlan,
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceTableWrites,
			Value:        t.Daemons * drawRate * drawAndReturn * (drawWrites.Slope - 1),
			Formula:      sprintf("%s daemons × %s requests/s that find no grant × (draw + return) × %s rows", formatNumber(t.Daemons), formatNumber(drawRate), formatNumber(drawWrites.Slope-1)),
			Mechanism:    "nothing at this size: the balancer sprays 110,000 budgets over all daemons",
			PlannedValue: t.Daemons * homeDrawRate,
			Plan:         sprintf("%s; a row that holds budget and grant, written each %d s of spending", homePlan, planHorizonSeconds),
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceTableReads,
			Value:     t.Daemons * drawRate * drawAndReturn * drawReads.Slope,
			Formula:   sprintf("%s daemons × %s requests/s × (draw + return) × %s rows", formatNumber(t.Daemons), formatNumber(drawRate), formatNumber(drawReads.Slope)),
			Mechanism: "as above", PlannedValue: t.Daemons * homeDrawRate,
			Plan: "the home knows its row, and reads it again after a conflict; counted as one read a draw",
		},
		Line{
			Role: RoleBudget, Item: "draw and return grants", Resource: ResourceControlBytes, Value: drawRate * drawAndReturn * draw.Slope,
			Formula:   sprintf("%s requests/s × (draw + return) × %s bytes (with the bill)", formatNumber(drawRate), formatNumber(draw.Slope)),
			Mechanism: "as above", PlannedValue: homeDrawRate * planDrawBytes,
			Plan: sprintf("%s; draws ride in the transaction of the bills, reckoned as %d bytes each", homePlan, planDrawBytes),
		},
		Line{
			Role: RoleBilling, Item: "bills", Resource: ResourceTableWrites, Value: t.Daemons * billRows(linger),
			Formula:   sprintf("%s daemons × %s requests/s / (1 + %s × %s s linger)", formatNumber(t.Daemons), formatNumber(requestRate), formatNumber(requestRate), formatNumber(linger)),
			Mechanism: "group commit in each daemon, which groups little at this rate", PlannedValue: t.Daemons * billRows(planLingerSeconds),
			Plan: sprintf("budget.linger of %s s: only the last piece of an answer waits, one gap of several hundred", formatNumber(planLingerSeconds)),
		},
		Line{
			Role: RoleBilling, Item: "bills", Resource: ResourceControlBytes, Value: requestRate * groupedBill.Slope,
			Formula:   sprintf("%s requests/s × %s bytes (many to a row)", formatNumber(requestRate), formatNumber(groupedBill.Slope)),
			Mechanism: "JSON rows in JSON bodies", PlannedValue: requestRate*planBillBytes + billRows(planLingerSeconds)*planCommitBytes,
			Plan: sprintf("rows that name each account once and hold ids as bytes: reckoned as %d bytes a bill and %d a transaction", planBillBytes, planCommitBytes),
		},
		Line{
			Role: RoleBilling, Item: "rows of callers' keys", Resource: ResourceTableWrites, Value: t.RequestsPerSec * (1 - t.CallShare) * t.KeyShare,
			Formula:   sprintf("%s requests/s × %s with a key (assumed) × 1 row", formatNumber(t.RequestsPerSec*(1-t.CallShare)), formatNumber(t.KeyShare)),
			Mechanism: "one row a key", PlannedValue: 0,
			Plan: "the home of the budget also holds its keys: in memory, and in the bill rows, which its successor reads before it serves",
		},
	)
}

// addCallLines adds the lines of calls that must not be retried.
func (m *costModel) addCallLines() {
	callRate := m.target.RequestsPerSec * m.target.CallShare
	m.add(
		Line{
			Role: RoleCalls, Item: "claim and finish", Resource: ResourceTableWrites, Value: 2 * callRate,
			Formula:   sprintf("%s requests/s × %s calls (assumed) × 2 rows", formatNumber(m.target.RequestsPerSec), formatNumber(m.target.CallShare)),
			Mechanism: "a row a call, inserted before it leaves", PlannedValue: callRate,
			Plan: "finishes ride in the rows of bills; claims stay a row each, since one that waits for others makes the caller wait: this line needs a table that gives more writes",
		},
	)
}

// addConfigurationLines adds the lines of watching and changing the configuration.
func (m *costModel) addConfigurationLines() {
	t := m.target
	changeRate := t.peakChangesPerSec()
	workspace, endpoint := m.fitOf(MemoryPerWorkspace), m.fitOf(MemoryPerEndpoint)
	cpu, bytes, reads := m.fitOf(CPUPerChange), m.fitOf(PlatformBytesPerChange), m.fitOf(RowsReadPerChange)
	indexCPU := m.fitOf(IndexCPUPerWorkspace).Slope * t.Workspaces
	m.add(
		Line{
			Role: RoleConfig, Item: "workspaces in force", Resource: ResourceMemory, Value: t.Workspaces * workspace.Slope,
			Formula: sprintf("%s × %s bytes", formatNumber(t.Workspaces), formatNumber(workspace.Slope)), Mechanism: "one immutable index a revision",
		},
		Line{
			Role: RoleConfig, Item: "endpoints in force", Resource: ResourceMemory, Value: t.Endpoints * endpoint.Slope,
			Formula: sprintf("%s × %s bytes", formatNumber(t.Endpoints), formatNumber(endpoint.Slope)), Mechanism: "one immutable index a revision",
		},
		Line{
			Role: RoleConfig, Item: "second index while a revision is put in force", Resource: ResourceMemory,
			Value:   t.Workspaces*workspace.Slope + t.Endpoints*endpoint.Slope,
			Formula: "as the two lines above, at most", Mechanism: "the new index shares with the old one, which is collected afterwards",
		},
		Line{
			Role: RoleConfig, Item: "apply changes, small configuration", Resource: ResourceCPU, Value: changeRate * cpu.Slope,
			Formula: sprintf("%s changes/s (ten times the mean) × %s core s", formatNumber(changeRate), formatNumber(cpu.Slope)), Mechanism: "deltas of a revisioned log",
		},
		Line{
			Role: RoleConfig, Item: "index changes of workspaces", Resource: ResourceCPU, Value: changeRate * indexCPU,
			Formula:   sprintf("%s changes/s × %s workspaces × %s core s", formatNumber(changeRate), formatNumber(t.Workspaces), formatNumber(m.fitOf(IndexCPUPerWorkspace).Slope)),
			Mechanism: "an index that shares what a change does not touch",
		},
		Line{
			Role: RoleConfig, Item: "read changes", Resource: ResourceControlBytes, Value: changeRate * bytes.Slope,
			Formula: sprintf("%s changes/s × %s bytes", formatNumber(changeRate), formatNumber(bytes.Slope)), Mechanism: "deltas of a revisioned log",
		},
		Line{
			Role: RoleConfig, Item: "read changes", Resource: ResourceTableReads, Value: t.Daemons * changeRate * reads.Slope,
			Formula:   sprintf("%s daemons × %s changes/s × %s rows", formatNumber(t.Daemons), formatNumber(changeRate), formatNumber(reads.Slope)),
			Mechanism: "pushed over the peer link; the table is the fallback",
		},
		Line{
			Role: RoleOperator, Item: "commit changes", Resource: ResourceTableWrites, Value: changeRate * 2,
			Formula: sprintf("%s changes/s × 2 rows (head and revision)", formatNumber(changeRate)), Mechanism: "one transaction a change",
		},
	)
}

// maxRoutersPerRelay is the largest number of routers that one relay serves. A relay reads
// the rows of all members; in a large fleet, the time between two such reads is
// relaySecondsPerRow for each member. They model maxRoutersPerRelay of
// internal/fleetconfig and refreshIntervalPerMember of coord/member; nothing checks that
// the values agree.
const (
	maxRoutersPerRelay = 12
	relaySecondsPerRow = 0.1
)

// tableReaders says which daemons of a fleet read the table, and how often.
type tableReaders struct {
	// readers is the number of daemons that read the table, and rowsPerSecond the
	// number of rows that each of them reads per second.
	readers       float64
	rowsPerSecond float64
	// routersPerReader is the number of daemons that request the rows from one
	// reader.
	routersPerReader float64
	mechanism        string
}

// tableReading returns how a fleet of the target's size reads the table: in a small fleet
// every daemon does, in a larger one the relays of each failure domain. There is one
// relay for every maxRoutersPerRelay+1 daemons of a domain, rounded up, since the relay
// is one of them.
func (m *costModel) tableReading() tableReaders {
	t := m.target
	peers := t.Daemons - 1
	refreshInterval, pollRate := m.settings.Member.RefreshInterval.Seconds(), 1/m.settings.Config.PollInterval.Seconds()
	if t.Daemons <= float64(m.settings.Config.RelayThreshold) {
		return tableReaders{readers: t.Daemons, rowsPerSecond: peers/refreshInterval + pollRate, mechanism: "each daemon reads"}
	}
	perDomain := math.Ceil(t.Daemons / t.FailureDomains)
	relaysPerDomain := math.Floor((perDomain + maxRoutersPerRelay) / (maxRoutersPerRelay + 1))
	return tableReaders{
		readers: t.FailureDomains * relaysPerDomain, rowsPerSecond: min(peers/refreshInterval, 1/relaySecondsPerRow) + pollRate, routersPerReader: perDomain/relaysPerDomain - 1,
		mechanism: sprintf("%s relays a failure domain read the table, the others ask them", formatNumber(relaysPerDomain)),
	}
}

// addMemberLines adds the lines of the peer link and of membership, for a daemon that
// reads the table.
func (m *costModel) addMemberLines() {
	t := m.target
	peers := t.Daemons - 1
	reading := m.tableReading()
	cpu, memory, relay := m.fitOf(PeerCPUPerIdleSecond), m.fitOf(MemoryPerPeer), m.fitOf(RelayBytesPerFollower)
	heartbeatInterval := m.settings.Member.HeartbeatInterval.Seconds()
	bytesPerRow := m.fitOf(PlatformBytesPerIdleSecond).Slope * m.settings.Member.RefreshInterval.Seconds()
	m.add(
		Line{
			Role: RoleMember, Item: "process at rest, and connections to all peers", Resource: ResourceMemory,
			Value:     memory.Intercept + memory.Slope*peers,
			Formula:   sprintf("%s + %s × %s peers bytes", formatNumber(memory.Intercept), formatNumber(memory.Slope), formatNumber(peers)),
			Mechanism: "a connection a peer in use, closed when idle", PlannedValue: memory.Intercept + memory.Slope*t.Daemons/t.FailureDomains,
			Plan: "requests to peers outside the own failure domain go by its relays",
		},
		Line{
			Role: RoleMember, Item: "at rest", Resource: ResourceCPU, Value: cpu.Intercept + cpu.Slope*peers,
			Formula:   sprintf("%s + %s × %s peers cores", formatNumber(cpu.Intercept), formatNumber(cpu.Slope), formatNumber(peers)),
			Mechanism: "one goroutine a duty; pings on idle links", PlannedValue: cpu.Intercept + cpu.Slope*t.Daemons/t.FailureDomains,
			Plan: "requests to peers outside the own failure domain go by its relays",
		},
		Line{
			Role: RoleMember, Item: "relay views to followers", Resource: ResourceControlBytes, Value: reading.routersPerReader * relay.Slope,
			Formula: sprintf("%s followers × %s bytes/s, at a relay", formatNumber(reading.routersPerReader), formatNumber(relay.Slope)), Mechanism: reading.mechanism,
		},
		Line{
			Role: RoleMember, Item: "read members and the head", Resource: ResourceControlBytes, Value: reading.rowsPerSecond * bytesPerRow,
			Formula: sprintf("%s rows/s × %s bytes, at a relay", formatNumber(reading.rowsPerSecond), formatNumber(bytesPerRow)), Mechanism: reading.mechanism,
			PlannedValue: (1/planRelaySecondsPerRow + 1/m.settings.Config.PollInterval.Seconds()) * bytesPerRow,
			Plan:         sprintf("a relay spends %s s on each member's row", formatNumber(planRelaySecondsPerRow)),
		},
		Line{
			Role: RoleMember, Item: "read members and the head", Resource: ResourceTableReads, Value: reading.readers * reading.rowsPerSecond,
			Formula: sprintf("%s readers × %s rows/s (settings and constants)", formatNumber(reading.readers), formatNumber(reading.rowsPerSecond)), Mechanism: reading.mechanism,
		},
		Line{
			Role: RoleMember, Item: "heartbeats", Resource: ResourceTableWrites, Value: t.Daemons / heartbeatInterval,
			Formula:   sprintf("%s daemons / %s s", formatNumber(t.Daemons), formatNumber(heartbeatInterval)),
			Mechanism: "one row a daemon, written rarely; liveness is judged on the peer link",
		},
	)
}

// addEndpointLines adds the lines of reading the endpoints' load reports.
func (m *costModel) addEndpointLines() {
	t := m.target
	inUse := min(t.Endpoints, t.requestsPerDaemon()*m.settings.Route.ActiveTime.Seconds())
	cpu, report := m.fitOf(CPUPerEndpointInUse), m.fitOf(BytesPerLoadReport)
	reportRate := t.Endpoints / t.FailureDomains / planReportIntervalSeconds
	m.add(
		Line{
			Role: RoleEndpoint, Item: "poll load reports", Resource: ResourceCPU, Value: inUse * cpu.Slope,
			Formula:   sprintf("%s endpoints in use × %s cores", formatNumber(inUse), formatNumber(cpu.Slope)),
			Mechanism: "only endpoints in use are polled", PlannedValue: reportRate * planReportIntervalSeconds * cpu.Slope / daemonsPerDomain(t),
			Plan: "the daemons of a failure domain share the polls of its endpoints and tell each other",
		},
		Line{
			Role: RoleEndpoint, Item: "poll load reports", Resource: ResourceControlBytes,
			Value:     inUse / m.settings.Route.PollInterval.Seconds() * report.Slope,
			Formula:   sprintf("%s endpoints in use / %s s × %s bytes", formatNumber(inUse), formatNumber(m.settings.Route.PollInterval.Seconds()), formatNumber(report.Slope)),
			Mechanism: "as above", PlannedValue: t.Endpoints / planReportIntervalSeconds * planReportBytes / daemonsPerDomain(t),
			Plan: "packed reports of changed endpoints only, shared within the domain",
		},
	)
}

// daemonsPerDomain returns the mean number of daemons in a failure domain.
func daemonsPerDomain(t Target) float64 { return t.Daemons / t.FailureDomains }

// addTimelineLines adds the lines of recording events and copying them to peers.
func (m *costModel) addTimelineLines() {
	requestRate := m.target.requestsPerDaemon()
	perRequest, cpu, memory := m.fitOf(EventsPerRequest), m.fitOf(CPUPerEvent), m.fitOf(MemoryPerEvent)
	s := m.settings.Timeline
	retainedEvents := float64(s.Events + s.RetainedEvents + s.CopiedEvents)
	m.add(
		Line{
			Role: RoleTimeline, Item: "record events", Resource: ResourceCPU, Value: requestRate * perRequest.Slope * cpu.Slope,
			Formula:   sprintf("%s requests/s × %s events × %s core s", formatNumber(requestRate), formatNumber(perRequest.Slope), formatNumber(cpu.Slope)),
			Mechanism: "one lock, held for a copy",
		},
		Line{
			Role: RoleTimeline, Item: "events kept", Resource: ResourceMemory, Value: retainedEvents * memory.Slope,
			Formula:   sprintf("%s events × %s bytes", formatNumber(retainedEvents), formatNumber(memory.Slope)),
			Mechanism: sprintf("rings of fixed size; requests of the last %s s", formatNumber(float64(s.Events)/(requestRate*perRequest.Slope))),
		},
		Line{
			Role: RoleTimeline, Item: "copies to a peer", Resource: ResourceControlBytes, Value: s.MaxCopyBytesPerSecond,
			Formula: "timeline.copy_bytes_per_second", Mechanism: "bounded share; what matters most goes first",
		},
	)
}
