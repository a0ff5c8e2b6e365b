// Package terms holds the names of the HTTP header fields that a deployment uses
// for the properties of requests and responses.
package terms

// HeaderNames are the names of header fields. An empty name means that the
// deployment has no such field.
type HeaderNames struct {
	// RequestID identifies a request; upstreams return it in their responses.
	RequestID string
	// TimeLeft is the time in milliseconds until the deadline of the request.
	TimeLeft string
	// LastEventID is the number of the last event that the sender of the request
	// has.
	LastEventID string
	// Resumes is the request that brought the first event of the stream that the request
	// takes up.
	Resumes string
	// Model, TokenCounts (prompt and maximum output, separated by a comma) and
	// PromptParts (ID:TOKENS, separated by commas) describe a prompt.
	Model       string
	TokenCounts string
	PromptParts string
	// Account, Instance and Urgency are set by the router for the upstream: the
	// client account, the instance that the request is for, and a rank from 0 to 9.
	Account  string
	Instance string
	Urgency  string
	// NotRun is set by an upstream that did not run the request.
	NotRun string
	// Load is the number of running requests, of waiting requests and of slots of
	// an upstream, separated by commas, and optionally its pace: the current duration
	// of work in percent of the usual one.
	Load string
	// Leaving is set by an upstream that is about to end.
	Leaving string
	// Cold is for how long the upstream tolerates only few requests, in milliseconds.
	Cold string
	// RouterOnly lists further fields that only the router may set. They are
	// removed from the requests of callers.
	RouterOnly []string
}

// Default returns the names of the project's own deployment.
func Default() HeaderNames {
	return HeaderNames{
		RequestID: "Balsamwood-Request", TimeLeft: "Balsamwood-Time-Left-Ms", LastEventID: "Last-Event-Id", Resumes: "Balsamwood-Resumes",
		Model: "Balsamwood-Model", TokenCounts: "Balsamwood-Tokens", PromptParts: "Balsamwood-Prompt-Parts",
		Account: "Balsamwood-Account", Instance: "Balsamwood-Instance", Urgency: "Balsamwood-Urgency",
		NotRun: "Balsamwood-Not-Run", Load: "Balsamwood-Load", Leaving: "Balsamwood-Leaving", Cold: "Balsamwood-Cold-Left-Ms",
	}
}
