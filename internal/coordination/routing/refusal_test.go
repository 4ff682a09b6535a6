package routing

import (
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Guards against a backend server that is never chosen again after one refusal.
// Control reports only levels that change, so a backend server that is idle in
// each report gets no new level after a refusal between two of them. A retryAfter
// of an hour has effect for maxFullPeriod only.
func TestRefusalEndsWithoutReport(t *testing.T) {
	v := testView(t, simRow(0, idle()))
	req := Request{Service: "pool", Tokens: 10}
	c, err := v.Choose(start, req)
	if err != nil {
		t.Fatal(err)
	}
	v.RecordRefusal(start, c, fault.Overloaded, time.Hour)
	for after, eligible := range map[time.Duration]bool{0: false, maxFullPeriod - time.Millisecond: false, maxFullPeriod: true} {
		if _, err := v.Choose(start.Add(after), req); (err == nil) != eligible {
			t.Errorf("%v after the refusal: %v", after, err)
		}
	}
}
