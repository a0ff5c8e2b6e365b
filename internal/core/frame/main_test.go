package frame_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, val := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, val); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
