package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// releases returns a map with one upstream of service s for each release.
func releases(names ...string) place.EndpointMap {
	var ups []place.Upstream
	for no, name := range names {
		ups = append(ups, place.Upstream{ID: ident.Upstream(rune('a' + no)), Service: "s", Slots: 4, Release: name})
	}
	return place.EndpointMap{}.WithUpstreams(ups...)
}

// TestOnlyRelease guards against a stream that is taken for one of the release that is in
// service now, although another release may have begun it.
func TestOnlyRelease(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	type only struct {
		Release string
		OK      bool
	}
	for _, tc := range []struct {
		name  string
		watch func() place.ReleaseHistory
		since int
		want  only
	}{
		{"one release", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(0)).WithUpstreams(releases("v1", "v1"), at(0), at(40))
		}, 30, only{"v1", true}},
		{"two releases", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(0)).WithUpstreams(releases("v1", "v2"), at(0), at(40))
		}, 30, only{"", false}},
		{"the other one has just left", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(0)).WithUpstreams(releases("v1"), at(0), at(35)).WithUpstreams(releases("v2"), at(0), at(40))
		}, 30, only{"", false}},
		{"the other one left long ago", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(0)).WithUpstreams(releases("v1"), at(0), at(20)).WithUpstreams(releases("v2"), at(0), at(40))
		}, 30, only{"v2", true}},
		{"started after the stream", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(35)).WithUpstreams(releases("v2"), at(0), at(40))
		}, 30, only{"", false}},
		{"upstreams were missed", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(0)).WithUpstreams(releases("v2"), at(0), at(34)).WithGap(at(35)).WithUpstreams(releases("v2"), at(0), at(40))
		}, 30, only{"", false}},
		{"upstreams without a release", func() place.ReleaseHistory {
			return place.ReleaseHistory{}.WithGap(at(35)).WithUpstreams(releases("", ""), at(0), at(40))
		}, 30, only{"", true}},
		{"nothing is known", func() place.ReleaseHistory { return place.ReleaseHistory{} }, 30, only{"", false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			release, ok := tc.watch().Only("s", at(tc.since))
			if diff := cmp.Diff(tc.want, only{release, ok}); diff != "" {
				t.Errorf("release (-want +got):\n%s", diff)
			}
		})
	}
}
