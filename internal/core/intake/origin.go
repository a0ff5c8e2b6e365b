package intake

import (
	"fmt"
	"strings"
)

// answerPath returns the path of the answer from which the value at a path of the
// configuration was generated, or empty.
func answerPath(an Answers, path string) string {
	part, rest, _ := strings.Cut(path, ".")
	for _, og := range origins(an) {
		if og.part != part {
			continue
		}
		// Names may contain dots.
		field, ok := strings.CutPrefix(rest, og.name)
		switch {
		case !ok:
		case field == "":
			return og.answer
		case part == "accounts" && strings.HasPrefix(field, ".budgets["):
			return og.answer + ".uses"
		case field[0] == '.':
			return og.answer + field
		}
	}
	return ""
}

// origin maps an entry of the configuration to the answer that it was generated
// from.
type origin struct{ part, name, answer string }

func origins(an Answers) []origin {
	var out []origin
	for ix, te := range an.Teams {
		out = append(out, origin{"accounts", te.Name, fmt.Sprintf("teams[%d]", ix)})
	}
	for ix, en := range an.Engines {
		out = append(out, origin{"upstreams", en.Name, fmt.Sprintf("engines[%d]", ix)})
	}
	for ix, se := range an.Services {
		out = append(out, origin{"services", se.Name, fmt.Sprintf("services[%d]", ix)})
		for jx, it := range se.Instances {
			out = append(out, origin{"upstreams", it.Name, fmt.Sprintf("services[%d].instances[%d]", ix, jx)})
		}
	}
	return out
}
