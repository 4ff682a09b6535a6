package ledger

import (
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// State is the complete content of a Ledger. Equal ledgers have equal states.
type State struct {
	NowSeconds  uint32 // the ledger's time
	WallSeconds uint32 // the leader's time of the latest command
	// Records holds all records in the order in which they were appended, each
	// encoded in a fixed size.
	Records    []byte
	Unresolved []UnresolvedAttempt // in the order of the records
	Answers    []Answer            // oldest first
}

// UnresolvedAttempt is an attempt without a known outcome.
type UnresolvedAttempt struct {
	Key     []byte
	Attempt *peer.AttemptRef
}

// Answer is a stored answer.
type Answer struct {
	Key  []byte
	Data []byte
}

// State returns the content. It shares the attempts and the data of the answers
// with the Ledger.
func (l *Ledger) State() State {
	s := State{NowSeconds: l.now, WallSeconds: l.wall, Records: make([]byte, 0, l.table.used*recordBytes)}
	for pos := l.table.head; pos != l.table.tail; pos++ {
		r := l.table.at(pos)
		if r.state == free {
			continue
		}
		s.Records = r.appendTo(s.Records)
		if a, ok := l.unresolved[r.id]; ok {
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

// FromState restores a Ledger. Errors are of kind CorruptData.
func FromState(s State) (*Ledger, error) {
	l := New()
	l.now, l.wall = s.NowSeconds, s.WallSeconds
	if len(s.Records)%recordBytes != 0 {
		return nil, corrupt("%d bytes are not a multiple of the record size", len(s.Records))
	}
	unresolved, answered := 0, 0
	for b := s.Records; len(b) > 0; b = b[recordBytes:] {
		r := decodeRecord(b)
		if r.state == free || r.state > released {
			return nil, corrupt("a record has the invalid state %d", r.state)
		}
		if _, ok := l.table.find(r.id); ok {
			return nil, corrupt("a key occurs twice")
		}
		if r.isUnresolved() {
			unresolved++
		}
		if r.state == done {
			answered++
		}
		l.table.append(r)
	}
	if err := l.restoreUnresolved(s.Unresolved); err != nil {
		return nil, err
	}
	if err := l.restoreAnswers(s.Answers); err != nil {
		return nil, err
	}
	if len(l.unresolved) != unresolved || len(l.answers.byKey) != answered {
		return nil, corrupt("%d attempts and %d answers for %d unresolved and %d answered keys",
			len(l.unresolved), len(l.answers.byKey), unresolved, answered)
	}
	return l, nil
}

func (l *Ledger) restoreUnresolved(attempts []UnresolvedAttempt) error {
	for _, u := range attempts {
		r := l.recordByKey(u.Key)
		if r == nil || !r.isUnresolved() || u.Attempt == nil || attemptHash(u.Attempt) != r.attempt {
			return corrupt("an attempt does not match an unresolved key")
		}
		l.unresolved[r.id] = u.Attempt
	}
	return nil
}

func (l *Ledger) restoreAnswers(list []Answer) error {
	for _, a := range list {
		r := l.recordByKey(a.Key)
		if r == nil || r.state != done || len(a.Data) > MaxAnswerBytes {
			return corrupt("an answer belongs to no answered key or is too large")
		}
		l.answers.put(r.id, a.Data)
	}
	if l.answers.bytes > MaxAnswersBytes {
		return corrupt("answers take %d bytes", l.answers.bytes)
	}
	return nil
}

func (l *Ledger) recordByKey(key []byte) *record {
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
