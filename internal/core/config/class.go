package config

// Class is the priority class of a request.
type Class string

const (
	// Urgent is for requests that a person is waiting for.
	Urgent Class = "urgent"
	// Normal is the default class.
	Normal Class = "normal"
	// Batch is for requests that may wait until their deadline.
	Batch Class = "batch"
)

// Rank orders the classes. A lower rank runs first.
func (cl Class) Rank() int {
	switch cl {
	case Urgent:
		return 0
	case Batch:
		return 2
	default:
		return 1
	}
}

// Valid reports whether the class is known.
func (cl Class) Valid() bool { return cl == Urgent || cl == Normal || cl == Batch }
