package ledger

import (
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// State is the whole content of a Ledger. Equal ledgers give equal states.
type State struct {
	NowSeconds  uint32
	WallSeconds uint32
	// Records holds all records in order, each in a fixed form.
	Records    []byte
	Unresolved []UnresolvedAttempt
	Answers    []Answer
}

// UnresolvedAttempt is an attempt without a known outcome, in the order of the
// records.
type UnresolvedAttempt struct {
	Key     []byte
	Attempt *peer.AttemptRef
}

// Answer is a stored answer, oldest first.
type Answer struct {
	Key  []byte
	Data []byte
}

// State returns a copy of the content.
func (l *Ledger) State() State {
	s := State{NowSeconds: l.now, WallSeconds: l.wall, Records: make([]byte, 0, l.table.used*recordBytes)}
	for pos := l.table.head; pos != l.table.tail; pos++ {
		r := l.table.at(pos)
		if r.state == free {
			continue
		}
		s.Records = r.appendTo(s.Records)
		if a, ok := l.open[r.id]; ok {
			s.Unresolved = append(s.Unresolved, UnresolvedAttempt{Key: append([]byte(nil), r.id[:]...), Attempt: a})
		}
	}
	for _, q := range l.answers.queue {
		if l.answers.isCurrent(q) {
			s.Answers = append(s.Answers, Answer{Key: append([]byte(nil), q.key[:]...), Data: l.answers.get(q.key)})
		}
	}
	return s
}

// FromState rebuilds a Ledger. Errors are of kind CorruptData.
func FromState(s State) (*Ledger, error) {
	l := New()
	l.now, l.wall = s.NowSeconds, s.WallSeconds
	if len(s.Records)%recordBytes != 0 {
		return nil, corrupt("%d bytes are no whole number of records", len(s.Records))
	}
	unresolved, answered := 0, 0
	for b := s.Records; len(b) > 0; b = b[recordBytes:] {
		r := decodeRecord(b)
		if r.state == free || r.state > released {
			return nil, corrupt("a record has state %d", r.state)
		}
		if _, ok := l.table.find(r.id); ok {
			return nil, corrupt("a key stands twice")
		}
		if r.isOpen() {
			unresolved++
		}
		if r.state == done {
			answered++
		}
		l.table.append(r)
	}
	if err := l.restoreOpen(s.Unresolved); err != nil {
		return nil, err
	}
	if err := l.restoreAnswers(s.Answers); err != nil {
		return nil, err
	}
	if len(l.open) != unresolved || len(l.answers.byKey) != answered {
		return nil, corrupt("%d attempts and %d answers for %d open and %d answered keys",
			len(l.open), len(l.answers.byKey), unresolved, answered)
	}
	return l, nil
}

func (l *Ledger) restoreOpen(open []UnresolvedAttempt) error {
	for _, o := range open {
		r := l.recordOf(o.Key)
		if r == nil || !r.isOpen() || o.Attempt == nil || attemptHash(o.Attempt) != r.attempt {
			return corrupt("an attempt belongs to no open key")
		}
		l.open[r.id] = o.Attempt
	}
	return nil
}

func (l *Ledger) restoreAnswers(list []Answer) error {
	for _, a := range list {
		r := l.recordOf(a.Key)
		if r == nil || r.state != done || len(a.Data) > MaxAnswerBytes {
			return corrupt("an answer belongs to no key")
		}
		l.answers.put(r.id, a.Data)
	}
	if l.answers.bytes > MaxAnswersBytes {
		return corrupt("answers take %d bytes", l.answers.bytes)
	}
	return nil
}

func (l *Ledger) recordOf(key []byte) *record {
	if len(key) != len(id{}) {
		return nil
	}
	pos, ok := l.table.find(id(key))
	if !ok {
		return nil
	}
	return l.table.at(pos)
}

func corrupt(format string, args ...any) error {
	return fault.New(fault.CorruptData, "ledger: "+format, args...)
}
