package duty

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

var terms = Terms{Lease: 3000 * ms, Action: 1000 * ms}

// TestNext guards against a candidate that takes the duty before the lease of another
// host has ended, and against a holder that waits for its own.
func TestNext(t *testing.T) {
	other := Record{Host: "b", Token: 7, Renewal: 9}
	tests := map[string]struct {
		observed map[time.Duration]Record
		now      time.Duration
		isNew    bool
		want     Step
	}{
		"nothing observed":             {nil, 100 * ms, true, Wait{Until: 3100 * ms}},
		"new log":                      {map[time.Duration]Record{100 * ms: {}}, 200 * ms, true, Grant{}},
		"empty record, not a new log":  {map[time.Duration]Record{100 * ms: {}}, 200 * ms, false, Wait{Until: 3160 * ms}},
		"own record":                   {map[time.Duration]Record{100 * ms: {Host: "a", Token: 7, Renewal: 7}}, 200 * ms, false, Hold{}},
		"lease of another":             {map[time.Duration]Record{100 * ms: other}, 3100 * ms, false, Wait{Until: 3160 * ms}},
		"lease of another has ended":   {map[time.Duration]Record{100 * ms: other}, 3160 * ms, false, Grant{Expected: other}},
		"a later renewal was observed": {map[time.Duration]Record{100 * ms: other, 200 * ms: {Host: "b", Token: 7, Renewal: 12}}, 3160 * ms, false, Wait{Until: 3260 * ms}},
		"the same renewal again":       {map[time.Duration]Record{100 * ms: other, 200 * ms: other}, 3160 * ms, false, Grant{Expected: other}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New("a", terms)
			for _, at := range []time.Duration{100 * ms, 200 * ms} {
				if r, ok := test.observed[at]; ok {
					h.Observe(at, r)
				}
			}
			if diff := cmp.Diff(test.want, h.Next(test.now, test.isNew)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBeginLeading guards against a host that has lost the record and takes the duty at
// once when it becomes the leader, and against one that has it and waits longer.
func TestBeginLeading(t *testing.T) {
	tests := map[string]struct {
		record Record
		want   Step
	}{
		"no record":       {Record{}, Wait{Until: 63060 * ms}},
		"another's lease": {Record{Host: "b", Token: 7, Renewal: 9}, Grant{Expected: Record{Host: "b", Token: 7, Renewal: 9}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New("a", terms)
			h.Observe(0, test.record)
			h.BeginLeading(60000 * ms)
			if diff := cmp.Diff(test.want, h.Next(60100*ms, false)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestMayAct guards against an action that ends after the lease, that follows an
// interruption, or that uses the lease of an earlier process or of another host.
func TestMayAct(t *testing.T) {
	own := Record{Host: "a", Token: 7, Renewal: 7}
	tests := map[string]struct {
		renewed     bool
		then        *Record
		now         time.Duration
		interrupted time.Duration
		want        bool
	}{
		"renewed":                          {true, nil, 150 * ms, -1, true},
		"just enough of the lease is left": {true, nil, 2039 * ms, -1, true},
		"too little of the lease is left":  {true, nil, 2040 * ms, -1, false},
		"the lease has ended":              {true, nil, 9000 * ms, -1, false},
		"interrupted before the renewal":   {true, nil, 150 * ms, 99 * ms, true},
		"interrupted at the renewal":       {true, nil, 150 * ms, 100 * ms, false},
		"interrupted after the renewal":    {true, nil, 150 * ms, 140 * ms, false},
		"another host was granted":         {true, &Record{Host: "b", Token: 8, Renewal: 8}, 150 * ms, -1, false},
		"granted again":                    {true, &Record{Host: "a", Token: 9, Renewal: 9}, 150 * ms, -1, false},
		"a renewal of an earlier process":  {false, &own, 150 * ms, -1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New("a", terms)
			if test.renewed {
				h.Renewed(120*ms, 100*ms, own) // its lease ends at 3,040 ms
			}
			if test.then != nil {
				h.Observe(130*ms, *test.then)
			}
			if got := h.MayAct(test.now, test.interrupted); got != test.want {
				t.Errorf("MayAct is %t, want %t", got, test.want)
			}
		})
	}
}
