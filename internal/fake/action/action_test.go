package action_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/fake/action"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// TestEffects guards against a stand-in that hides a second effect of the same
// idempotency key, loses the effect together with the response, or has an effect
// while it is down.
func TestEffects(t *testing.T) {
	sv := action.New()
	srv := httptest.NewServer(sv)
	defer srv.Close()
	post := func(key string) bool {
		re, err := http.NewRequest(http.MethodPost, srv.URL+"/vouchers", strings.NewReader(`{"family":7}`))
		if err != nil {
			t.Fatal(err)
		}
		// net/http may repeat a request that has an Idempotency-Key header. It does
		// not recognize the header in lower case.
		re.Header["idempotency-key"] = []string{key}
		resp, err := http.DefaultClient.Do(re)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	}
	var responded []bool
	for _, step := range []struct {
		key string
		se  fault.Setting
	}{
		{"k1", fault.Setting{}},
		{"k1", fault.Setting{}},
		{"k2", fault.Setting{}.WithLoseNext(1)},
		{"k3", fault.Setting{}.WithDown(true)},
		{"k4", fault.Setting{}.WithLoseShare(1)},
	} {
		sv.Faults().Set(step.se)
		responded = append(responded, post(step.key))
	}
	if diff := cmp.Diff([]bool{true, true, false, false, false}, responded); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	var keys []string
	for _, ef := range sv.Effects() {
		keys = append(keys, ef.Key)
	}
	if diff := cmp.Diff([]string{"k1", "k1", "k2", "k4"}, keys); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
	sv.Faults().Set(fault.Setting{})
	resp, err := http.Get(srv.URL + "/vouchers/3")
	if err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(resp.Body)
	if !strings.Contains(string(data), `"key":"k2"`) || sv.Lookups() != 1 {
		t.Errorf("lookup %s, want the effect of k2", data)
	}
}
