package intake

import (
	"fmt"
	"strings"
)

// answerPath returns the path of the answer that a path in the configuration
// came from.
func answerPath(an Answers, path string) string {
	part, rest, _ := strings.Cut(path, ".")
	for _, pl := range places(an) {
		if pl.part != part {
			continue
		}
		// Names may contain dots.
		field, ok := strings.CutPrefix(rest, pl.name)
		switch {
		case !ok:
		case field == "":
			return pl.at
		case part == "accounts" && strings.HasPrefix(field, ".budgets["):
			return pl.at + ".uses"
		case field[0] == '.':
			return pl.at + field
		}
	}
	return ""
}

// place is where a part of the configuration is answered.
type place struct{ part, name, at string }

func places(an Answers) []place {
	var out []place
	for ix, te := range an.Teams {
		out = append(out, place{"accounts", te.Name, fmt.Sprintf("teams[%d]", ix)})
	}
	for ix, en := range an.Engines {
		out = append(out, place{"upstreams", en.Name, fmt.Sprintf("engines[%d]", ix)})
	}
	for ix, se := range an.Services {
		out = append(out, place{"services", se.Name, fmt.Sprintf("services[%d]", ix)})
		for jx, it := range se.Instances {
			out = append(out, place{"upstreams", it.Name, fmt.Sprintf("services[%d].instances[%d]", ix, jx)})
		}
	}
	return out
}
