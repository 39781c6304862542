package capacity

// The slopes that the model needs.
const (
	MemoryPerWorkspace   Name = "memory_per_workspace"
	MemoryPerEndpoint    Name = "memory_per_endpoint"
	MemoryPerEvent       Name = "memory_per_event"
	MemoryPerBudget      Name = "memory_per_budget"
	DocumentPerWorkspace Name = "document_bytes_per_workspace"
	IndexPerWorkspace    Name = "index_cpu_per_workspace"
	CPUPerEvent          Name = "cpu_per_event"
	CPUPerRequest        Name = "cpu_per_request"
	CPUPerToken          Name = "cpu_per_token"
	CPUPerIdleSecond     Name = "cpu_per_idle_second"
	RowsReadPerRequest   Name = "rows_read_per_request"
	RowsWritePerRequest  Name = "rows_written_per_request"
	RowsReadIdle         Name = "rows_read_per_idle_second"
	RowsWriteIdle        Name = "rows_written_per_idle_second"
	PeerBytesIdle        Name = "peer_bytes_per_idle_second_and_peer"
	PeerCPUIdle          Name = "peer_cpu_per_idle_second_and_peer"
	PeerMemory           Name = "memory_per_peer"
	PlatformBytesIdle    Name = "platform_bytes_per_idle_second"
	PlatformBytesRequest Name = "platform_bytes_per_request"
)
