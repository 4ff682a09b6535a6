package registry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

func accountCounts(n uint64) []*peer.AccountCount {
	return []*peer.AccountCount{{Account: "a", Count: n}, {Account: "b", Count: 1}}
}

// TestDuty guards against a grant that passes over a renewal, commands of a holder that
// was replaced, a window whose counts change once it is closed, and windows that are
// reported or counted as missed twice. Each command has the log index of its position.
func TestDuty(t *testing.T) {
	grant := func(host string, token, renewal uint64) []byte {
		return GrantDutyCommand(start, host, token, renewal, 10)
	}
	renew := func(token uint64) []byte { return RenewDutyCommand(start, token) }
	closeWindow := func(token, window, n uint64) []byte { return CloseUsageCommand(start, token, window, accountCounts(n)) }
	settle := func(token, window uint64) []byte { return SettleUsageCommand(start, token, window) }
	abandon := func(token, through uint64) []byte { return AbandonUsageCommand(start, token, through) }
	record := func(host string, token, renewal, floor uint64, windows ...*UsageWindow) *DutyRecord {
		return &DutyRecord{Host: host, Token: token, Renewal: renewal, Floor: floor, Windows: windows}
	}
	open := func(window, n uint64) *UsageWindow { return &UsageWindow{Window: window, Counts: accountCounts(n)} }
	reported := func(window uint64) *UsageWindow { return &UsageWindow{Window: window, Reported: true} }
	tests := map[string]struct {
		commands [][]byte
		want     *DutyRecord
		// applied and missed are those of the last command.
		applied bool
		missed  uint64
	}{
		"granted":                     {[][]byte{grant("h", 0, 0)}, record("h", 1, 1, 10), true, 0},
		"granted to another":          {[][]byte{grant("h", 0, 0), grant("i", 1, 1)}, record("i", 2, 2, 10), true, 0},
		"two at once":                 {[][]byte{grant("h", 0, 0), grant("i", 0, 0)}, record("", 2, 2, 10), false, 0},
		"after two at once":           {[][]byte{grant("h", 0, 0), grant("i", 0, 0), grant("i", 2, 2)}, record("i", 3, 3, 10), true, 0},
		"renewed after two at once":   {[][]byte{grant("h", 0, 0), grant("i", 0, 0), renew(1)}, record("", 2, 2, 10), false, 0},
		"renewed":                     {[][]byte{grant("h", 0, 0), renew(1)}, record("h", 1, 2, 10), true, 0},
		"a renewal came before":       {[][]byte{grant("h", 0, 0), renew(1), grant("i", 1, 1)}, record("h", 1, 2, 10), false, 0},
		"renewed too late":            {[][]byte{grant("h", 0, 0), grant("i", 1, 1), renew(1)}, record("i", 2, 2, 10), false, 0},
		"renewed without a grant":     {[][]byte{renew(0)}, nil, false, 0},
		"closed":                      {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5)}, record("h", 1, 2, 10, open(11, 5)), true, 0},
		"closed again":                {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), closeWindow(1, 11, 6)}, record("h", 1, 3, 10, open(11, 5)), true, 0},
		"closed by the next holder":   {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), grant("i", 1, 2), closeWindow(3, 11, 6)}, record("i", 3, 4, 10, open(11, 5)), true, 0},
		"closed by the former holder": {[][]byte{grant("h", 0, 0), grant("i", 1, 1), closeWindow(1, 11, 5)}, record("i", 2, 2, 10), false, 0},
		"newest first":                {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), closeWindow(1, 10, 4)}, record("h", 1, 3, 10, open(10, 4), open(11, 5)), true, 0},
		"before the first":            {[][]byte{grant("h", 0, 0), closeWindow(1, 9, 5)}, record("h", 1, 1, 10), false, 0},
		"far ahead":                   {[][]byte{grant("h", 0, 0), closeWindow(1, 10+maxUsageWindows, 5)}, record("h", 1, 1, 10), false, 0},
		"reported":                    {[][]byte{grant("h", 0, 0), closeWindow(1, 10, 5), settle(1, 10)}, record("h", 1, 2, 11), true, 0},
		"reported, an older is open":  {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), settle(1, 11)}, record("h", 1, 2, 10, reported(11)), true, 0},
		"reported by the former":      {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), grant("i", 1, 2), settle(1, 11)}, record("i", 3, 3, 10, open(11, 5)), false, 0},
		"the gap is reported":         {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), settle(1, 11), closeWindow(1, 10, 5), settle(1, 10)}, record("h", 1, 4, 12), true, 0},
		"closed after the report":     {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), settle(1, 11), closeWindow(1, 11, 7)}, record("h", 1, 4, 10, reported(11)), true, 0},
		"given up":                    {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), closeWindow(1, 12, 6), settle(1, 12), abandon(1, 11)}, record("h", 1, 3, 13), true, 2},
		"given up around a report":    {[][]byte{grant("h", 0, 0), closeWindow(1, 11, 5), settle(1, 11), abandon(1, 500)}, record("h", 1, 2, 501), true, 490},
		"given up twice":              {[][]byte{grant("h", 0, 0), abandon(1, 11), abandon(1, 11)}, record("h", 1, 1, 12), false, 0},
		"closed after it":             {[][]byte{grant("h", 0, 0), abandon(1, 11), closeWindow(1, 11, 5)}, record("h", 1, 1, 12), false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			var applied bool
			var missed uint64
			for i, command := range test.commands {
				var err error
				if applied, missed, err = DecodeDutyResult(r.Apply(uint64(i+1), command)); err != nil {
					t.Fatal(err)
				}
			}
			snapshot, err := r.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := New()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			for _, state := range []*Registry{r, restored} {
				if diff := cmp.Diff(test.want, state.Duty(), protocmp.Transform()); diff != "" {
					t.Error(diff)
				}
			}
			if diff := cmp.Diff([]any{test.applied, test.missed}, []any{applied, missed}); diff != "" {
				t.Errorf("result of the last command: %s", diff)
			}
		})
	}
}

// TestDutyLostRecord guards against tokens that fall, and windows that are reported with
// other counts, when a host has lost the record in a snapshot of an earlier build and
// takes the duty: others that still have it must not use the older token any more.
func TestDutyLostRecord(t *testing.T) {
	whole, lost := New(), New()
	whole.Apply(5, GrantDutyCommand(start, "h", 0, 0, 10))
	whole.Apply(6, CloseUsageCommand(start, 5, 10, accountCounts(5)))
	commands := [][]byte{
		GrantDutyCommand(start, "i", 0, 0, 12), // of the host that has lost it
		RenewDutyCommand(start, 5),             // of the former holder
		CloseUsageCommand(start, 7, 12, accountCounts(6)),
		GrantDutyCommand(start, "j", 7, 9, 0), // of any host, after a lease
	}
	for i, command := range commands {
		whole.Apply(uint64(7+i), command)
		lost.Apply(uint64(7+i), command)
	}
	closed := func(window, n uint64) *UsageWindow { return &UsageWindow{Window: window, Counts: accountCounts(n)} }
	want := []*DutyRecord{
		{Host: "j", Token: 10, Renewal: 10, Floor: 10, Windows: []*UsageWindow{closed(10, 5), closed(12, 6)}},
		{Host: "j", Token: 10, Renewal: 10, Floor: 12, Windows: []*UsageWindow{closed(12, 6)}},
	}
	if diff := cmp.Diff(want, []*DutyRecord{whole.Duty(), lost.Duty()}, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// TestDutyVersions guards against a process of an earlier build, or a later one, that
// breaks on what it does not know, and against anything new in the snapshots of a group
// without the duty.
func TestDutyVersions(t *testing.T) {
	r := New()
	r.Apply(1, DrainCommand(start, "fes", true))
	before, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	// A command that this build does not know, as an earlier one sees a grant.
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 100, protowire.BytesType), []byte{})
	if _, err := decodeResult(r.Apply(2, unknown)); err == nil {
		t.Error("an unknown command was applied")
	}
	after, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("an unknown command changed the state: %s", diff)
	}
	s := &SnapshotData{}
	if err := proto.Unmarshal(before, s); err != nil || s.Duty != nil {
		t.Errorf("error %v, duty %v in the snapshot of a group without it", err, s.Duty)
	}
	r.Apply(3, GrantDutyCommand(start, "h", 0, 0, 10))
	if err := r.Restore(before); err != nil || r.Duty() != nil {
		t.Errorf("error %v, duty %v after a snapshot of an earlier build", err, r.Duty())
	}
	if _, _, err := DecodeDutyResult(r.Apply(4, GrantDutyCommand(start, "", 0, 0, 10))); err == nil {
		t.Error("the duty was granted to no host")
	}
}
