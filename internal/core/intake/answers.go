// Package intake generates a configuration from the answers of the questionnaire.
// It is pure: the same answers in any order give the same result.
package intake

import "github.com/balsamwood/balsamwood/internal/core/ident"

// Preference says whether false refusals or costs weigh more for a team.
type Preference string

const (
	// AvoidRefusal prefers fewer refusals of affordable requests.
	AvoidRefusal Preference = "refusal"
	// AvoidCost prefers less escrow that is held without use.
	AvoidCost Preference = "cost"
)

func (pr Preference) valid() bool { return pr == AvoidRefusal || pr == AvoidCost }

// Kind is the kind of a piece of work.
type Kind string

// Kinds of work.
const (
	// Question is a short question to a model.
	Question Kind = "question"
	// Draft is a long text that a model writes.
	Draft Kind = "draft"
	// Action is a call of a service that changes something.
	Action Kind = "action"
	// Lookup is a call of a service that only reads.
	Lookup Kind = "lookup"
)

// usesModel reports whether the work is done by a model.
func (ki Kind) usesModel() bool { return ki == Question || ki == Draft }

// Urgency says how soon an answer is needed.
type Urgency string

const (
	// AtOnce means that a person is waiting for the answer.
	AtOnce Urgency = "atOnce"
	// Soon means within about a minute.
	Soon Urgency = "soon"
	// ByMorning means any time before the next morning.
	ByMorning Urgency = "byMorning"
)

// Answers are the answers of the questionnaire. The tags yaml, rule, ask and
// when hold the key, its constraint, the question, and the kinds of work for
// which the question is asked.
type Answers struct {
	Preference Preference `yaml:"whenInDoubt" rule:"required,oneof=refusal|cost" ask:"What matters more when in doubt: to avoid a refusal, or to avoid a cost?"`
	Work       []Work     `yaml:"work" rule:"required" ask:"Which kinds of work are there?"`
	Engines    []Engine   `yaml:"engines,omitempty" ask:"Which model engines are there?"`
	Services   []Service  `yaml:"services,omitempty" ask:"Which services are there?"`
	Teams      []Team     `yaml:"teams" rule:"required" ask:"Which teams use them?"`
}

// Work is one kind of work.
type Work struct {
	Name           string        `yaml:"name" rule:"required" ask:"Name of the work"`
	Kind           Kind          `yaml:"kind" rule:"required,oneof=question|draft|action|lookup" ask:"What kind of work is it?"`
	Urgency        Urgency       `yaml:"needed" rule:"required,oneof=atOnce|soon|byMorning" ask:"How soon is the answer needed?"`
	AtMostOnce     bool          `yaml:"neverTwice,omitempty" ask:"Must it never happen twice?" when:"action|lookup"`
	Model          ident.Model   `yaml:"model,omitempty" ask:"Which model does it?" when:"question|draft"`
	LargestRequest ident.Tokens  `yaml:"largestRequest,omitempty" rule:"min=0" ask:"How many tokens do the largest request and its answer have?" when:"question|draft"`
	Service        ident.Service `yaml:"service,omitempty" ask:"Which service does it?" when:"action|lookup"`
	Method         string        `yaml:"method,omitempty" ask:"HTTP method of the call" when:"action|lookup"`
	Path           string        `yaml:"path,omitempty" ask:"Path of the call" when:"action|lookup"`
	Cost           ident.Tokens  `yaml:"cost,omitempty" rule:"min=0" ask:"How many tokens is one call charged?" when:"action|lookup"`
}

// Engine is a model engine and the sidecar beside it.
type Engine struct {
	Name    string        `yaml:"name" rule:"required" ask:"Name of the engine"`
	VM      ident.VM      `yaml:"vm" rule:"required" ask:"VM on which it runs"`
	Domain  ident.Domain  `yaml:"domain" rule:"required" ask:"Failure domain of the VM"`
	Sidecar string        `yaml:"sidecar" rule:"required,addr" ask:"Address of its sidecar (ip:port)"`
	Models  []ident.Model `yaml:"models" rule:"required" ask:"Models that it serves"`
	// RefusesOldOrders says that the engine itself refuses orders with a
	// superseded fencing number.
	RefusesOldOrders bool `yaml:"refusesOldOrders,omitempty" ask:"Does it refuse orders with an old fencing number by itself?"`
}

// Service is a plain service and the processes that offer it.
type Service struct {
	Name      string     `yaml:"name" rule:"required" ask:"Name of the service"`
	Instances []Instance `yaml:"instances" rule:"required" ask:"Which processes offer the service?"`
}

// Instance is a process of a service and the sidecar beside it.
type Instance struct {
	Name             string       `yaml:"name" rule:"required" ask:"Name of the process"`
	VM               ident.VM     `yaml:"vm" rule:"required" ask:"VM on which it runs"`
	Domain           ident.Domain `yaml:"domain" rule:"required" ask:"Failure domain of the VM"`
	Sidecar          string       `yaml:"sidecar" rule:"required,addr" ask:"Address of its sidecar (ip:port)"`
	RefusesOldOrders bool         `yaml:"refusesOldOrders,omitempty" ask:"Does it refuse orders with an old fencing number by itself?"`
}

// Team is a client account and its use of the work.
type Team struct {
	Name string `yaml:"name" rule:"required" ask:"Name of the team"`
	// Preference is the team's own preference, or empty if the general one
	// applies.
	Preference Preference `yaml:"whenInDoubt,omitempty" rule:"oneof=refusal|cost" ask:"What matters more to this team, if it differs?"`
	Uses       []Use      `yaml:"uses" rule:"required" ask:"Which work does the team use?"`
}

// Use is the use of one kind of work by one team.
type Use struct {
	Work     string       `yaml:"work" rule:"required" ask:"Name of the work"`
	PerMonth ident.Tokens `yaml:"perMonth" rule:"required,min=1" ask:"How many tokens per month?"`
	// BusiestMinute is the number of requests in the busiest minute of an
	// ordinary day. A team whose uses are all zero has no rate limit.
	BusiestMinute int `yaml:"busiestMinute,omitempty" rule:"min=0" ask:"How many requests in the busiest minute of an ordinary day?"`
}
