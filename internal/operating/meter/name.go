package meter

// Name is the name of a metric. The set of names is closed; docs/METRICS.md
// describes each of them.
type Name string

// Names of metrics, with their units.
const (
	Requests           Name = "gentianstep_requests_total"
	Failures           Name = "gentianstep_failures_total"
	Withdrawn          Name = "gentianstep_withdrawn_total"
	FirstByteSeconds   Name = "gentianstep_first_byte_seconds"
	RequestSeconds     Name = "gentianstep_request_seconds"
	RouteDecisions     Name = "gentianstep_route_decisions_total"
	AnswerEvents       Name = "gentianstep_answer_events_total"
	BundleVersion      Name = "gentianstep_bundle_version"
	BundleSinceSeconds Name = "gentianstep_bundle_in_force_since_seconds"
	Connections        Name = "gentianstep_connections"
	ConnectionsRefused Name = "gentianstep_connections_refused_total"
	ConnectionsEvicted Name = "gentianstep_connections_gave_way_total"
	UpstreamNotices    Name = "gentianstep_upstream_notices_total"
	BrokenResponses    Name = "gentianstep_broken_responses_total"
	QuotaRequests      Name = "gentianstep_quota_requests_total"
	EnginePrompts      Name = "gentianstep_engine_prompts_total"
	Quarantines        Name = "gentianstep_quarantines_total"
	Stopping           Name = "gentianstep_stopping"
	Goroutines         Name = "gentianstep_goroutines"
	HeapBytes          Name = "gentianstep_heap_bytes"
	StoreRestores      Name = "gentianstep_store_restores_total"
	MemoryShort        Name = "gentianstep_memory_short_total"
)

// metricType is the Prometheus type of a metric.
type metricType string

const (
	counter metricType = "counter"
	gauge   metricType = "gauge"
	summary metricType = "summary"
)

// description is the metadata of a metric.
type description struct {
	metricType metricType
	help       string
	// label is the name of the only label, empty for none.
	label string
}

var descriptions = map[Name]description{
	Requests:           {counter, "Requests of callers by HTTP status.", "status"},
	Withdrawn:          {counter, "Attempts that were withdrawn before their engines began them.", ""},
	Failures:           {counter, "Failures by error kind.", "kind"},
	FirstByteSeconds:   {summary, "Seconds from a request's arrival to the first byte of its answer.", ""},
	RequestSeconds:     {summary, "Seconds from a request's arrival to the end of its answer.", ""},
	RouteDecisions:     {counter, "Routing decisions by reason.", "reason"},
	AnswerEvents:       {counter, "What befell answers on their way, by event.", "event"},
	BundleVersion:      {gauge, "Version of the bundle in force, 0 for none.", ""},
	BundleSinceSeconds: {gauge, "Unix time in seconds at which the bundle came into force, 0 for none.", ""},
	Connections:        {gauge, "Open connections by listener.", "listener"},
	ConnectionsRefused: {counter, "Connections over the limit by listener.", "listener"},
	ConnectionsEvicted: {counter, "Connections without a request under way that were closed for new ones, by listener.", "listener"},
	EnginePrompts:      {counter, "Prompts by the speed of their engine relative to the others of its service.", "speed"},
	Quarantines:        {counter, "Changes of quarantines: started, ended, and requests sent on trial.", "change"},
	QuotaRequests:      {counter, "Requests of organisations with a quota, by outcome.", "outcome"},
	UpstreamNotices:    {counter, "What upstreams stated about themselves in responses, and requests not sent because of it.", "notice"},
	BrokenResponses:    {counter, "Responses of upstreams to requests of callers that were broken, by reason.", "reason"},
	Stopping:           {gauge, "1 while the process shuts down, else 0.", ""},
	Goroutines:         {gauge, "Goroutines of the process.", ""},
	HeapBytes:          {gauge, "Bytes of live and unswept heap.", ""},
	StoreRestores:      {counter, "Restores of the platform's store from an older copy that this VM has learned of, by prefix of keys.", "prefix"},
	MemoryShort:        {counter, "Requests that were refused or evicted since memory was short, by reason.", "reason"},
}

// Names returns the names of all metrics in no particular order.
func Names() []Name {
	names := make([]Name, 0, len(descriptions))
	for name := range descriptions {
		names = append(names, name)
	}
	return names
}
