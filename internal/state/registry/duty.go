package registry

import (
	"slices"
	"strings"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Limits on the record of usage reports.
const (
	// maxUsageWindows bounds the windows that are closed or settled before the
	// first one that is not. A window is given up two or three windows after its
	// end.
	maxUsageWindows = 64
	// maxUsageAccounts bounds the client accounts in one window; the largest
	// catalogs list 7,900.
	maxUsageAccounts = 1 << 15
)

// GrantDutyCommand encodes the grant of the duty of usage reports to a host. It
// applies if the record still has the expected token and renewal. firstWindow is
// used by the first grant only.
func GrantDutyCommand(now time.Time, host string, expectedToken, expectedRenewal, firstWindow uint64) []byte {
	return encodeCommand(now, &Command{Command: &Command_DutyGrant{DutyGrant: &DutyGrant{
		Host: host, ExpectedToken: expectedToken, ExpectedRenewal: expectedRenewal, FirstWindow: firstWindow,
	}}})
}

// RenewDutyCommand encodes a renewal of the lease of the holder with a token.
func RenewDutyCommand(now time.Time, token uint64) []byte {
	return encodeCommand(now, &Command{Command: &Command_DutyRenewal{DutyRenewal: &DutyRenewal{Token: token}}})
}

// CloseUsageCommand encodes the final counts of a window, which are sorted here.
func CloseUsageCommand(now time.Time, token, window uint64, counts []*peer.AccountCount) []byte {
	counts = slices.Clone(counts)
	slices.SortFunc(counts, func(a, b *peer.AccountCount) int { return strings.Compare(a.Account, b.Account) })
	return encodeCommand(now, &Command{Command: &Command_UsageClose{UsageClose: &UsageClose{Token: token, Window: window, Counts: counts}}})
}

// SettleUsageCommand encodes that the platform has accepted the report of a window.
func SettleUsageCommand(now time.Time, token, window uint64) []byte {
	return encodeCommand(now, &Command{Command: &Command_UsageSettle{UsageSettle: &UsageSettle{Token: token, Window: window}}})
}

// AbandonUsageCommand encodes that all windows up to one that are not reported are
// given up.
func AbandonUsageCommand(now time.Time, token, through uint64) []byte {
	return encodeCommand(now, &Command{Command: &Command_UsageAbandon{UsageAbandon: &UsageAbandon{Token: token, Through: through}}})
}

// DecodeDutyResult decodes the result of a command of this file: whether it
// applied, and the number of windows that were given up.
func DecodeDutyResult(result []byte) (applied bool, missed uint64, err error) {
	res, err := decodeResult(result)
	return res.GetDuty().GetApplied(), res.GetDuty().GetMissed(), err
}

// Duty returns the record of usage reports, which must not be modified. It is nil
// if the duty was never granted.
func (r *Registry) Duty() *DutyRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.duty
}

// dutyRecord returns a copy of the record that may be modified, apart from its
// windows. Readers may still hold the old one.
func (r *Registry) dutyRecord() *DutyRecord {
	d := r.duty
	return &DutyRecord{Host: d.GetHost(), Token: d.GetToken(), Renewal: d.GetRenewal(), Floor: d.GetFloor(), Windows: slices.Clone(d.GetWindows())}
}

func dutyResult(applied bool, missed uint64) *Result {
	return &Result{Result: &Result_Duty{Duty: &DutyResult{Applied: applied, Missed: missed}}}
}

func (r *Registry) grantDuty(index uint64, c *DutyGrant) *Result {
	if c.Host == "" {
		return failedResult(fault.New(fault.BadRequest, "duty granted to no host"))
	}
	next := r.dutyRecord()
	switch {
	case next.Token == c.ExpectedToken && next.Renewal == c.ExpectedRenewal:
	case next.Token != 0 && c.ExpectedToken == 0:
		// The candidate may have lost the record in a snapshot of an earlier build, and
		// holds the duty with this token for those that have lost it too. Here nobody
		// does until the lease is over, and tokens go on from this one.
		next.Host, next.Token, next.Renewal = "", index, index
		r.duty = next
		return dutyResult(false, 0)
	default:
		return dutyResult(false, 0)
	}
	if next.Token == 0 {
		next.Floor = c.FirstWindow
	}
	next.Host, next.Token, next.Renewal = c.Host, index, index
	r.duty = next
	return dutyResult(true, 0)
}

func (r *Registry) renewDuty(index uint64, c *DutyRenewal) *Result {
	if c.Token == 0 || c.Token != r.duty.GetToken() {
		return dutyResult(false, 0)
	}
	r.duty = r.dutyRecord()
	r.duty.Renewal = index
	return dutyResult(true, 0)
}

// closeUsage fixes the counts of a window. A window that is closed keeps its
// counts, whoever closed it: they may have been sent.
func (r *Registry) closeUsage(index uint64, c *UsageClose) *Result {
	if c.Token == 0 || c.Token != r.duty.GetToken() || c.Window < r.duty.GetFloor() || c.Window-r.duty.GetFloor() >= maxUsageWindows {
		return dutyResult(false, 0)
	}
	if len(c.Counts) > maxUsageAccounts {
		return failedResult(fault.New(fault.TooLarge, "window with %d client accounts, at most %d are allowed", len(c.Counts), maxUsageAccounts))
	}
	next := r.dutyRecord()
	next.Renewal = index
	if i, found := findWindow(next.Windows, c.Window); !found {
		next.Windows = slices.Insert(next.Windows, i, &UsageWindow{Window: c.Window, Counts: c.Counts})
	}
	r.duty = next
	return dutyResult(true, 0)
}

func (r *Registry) settleUsage(c *UsageSettle) *Result {
	i, found := findWindow(r.duty.GetWindows(), c.Window)
	if c.Token == 0 || c.Token != r.duty.GetToken() || !found {
		return dutyResult(false, 0)
	}
	next := r.dutyRecord()
	next.Windows[i] = &UsageWindow{Window: c.Window, Reported: true}
	next.dropSettled()
	r.duty = next
	return dutyResult(true, 0)
}

func (r *Registry) abandonUsage(c *UsageAbandon) *Result {
	if c.Token == 0 || c.Token != r.duty.GetToken() || c.Through < r.duty.GetFloor() {
		return dutyResult(false, 0)
	}
	next := r.dutyRecord()
	missed := c.Through - next.Floor + 1
	for len(next.Windows) > 0 && next.Windows[0].Window <= c.Through {
		if next.Windows[0].Reported {
			missed--
		}
		next.Windows = next.Windows[1:]
	}
	next.Floor = c.Through + 1
	next.dropSettled()
	r.duty = next
	return dutyResult(true, missed)
}

// dropSettled raises the floor over the windows that are reported.
func (d *DutyRecord) dropSettled() {
	for len(d.Windows) > 0 && d.Windows[0].Window == d.Floor && d.Windows[0].Reported {
		d.Windows = d.Windows[1:]
		d.Floor++
	}
}

func findWindow(windows []*UsageWindow, number uint64) (int, bool) {
	return slices.BinarySearchFunc(windows, number, func(w *UsageWindow, number uint64) int {
		switch {
		case w.Window < number:
			return -1
		case w.Window > number:
			return 1
		}
		return 0
	})
}
