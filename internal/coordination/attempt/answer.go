package attempt

import (
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// keepAnswer stores the answer of a finished attempt for cancellations that
// arrive later. When the total exceeds MaxAnswersBytes, the oldest answers are
// evicted; the records of their attempts stay.
func (t *Table) keepAnswer(key Key, r *record, answer *peer.StoredAnswer) {
	if answer == nil {
		return
	}
	size := proto.Size(answer)
	if size > MaxAnswerBytes {
		answer = &peer.StoredAnswer{Status: answer.Status, TooLarge: true}
		size = proto.Size(answer)
	}
	r.answer, r.answerSize = answer, size
	t.answerKeys = append(t.answerKeys, key)
	t.answersBytes += size
	for t.answersBytes > MaxAnswersBytes && len(t.answerKeys) > 0 {
		t.dropAnswer(t.records[t.answerKeys[0]])
		t.answerKeys = t.answerKeys[1:]
	}
}

// trimAnswers removes keys without a stored answer from the front of the list.
func (t *Table) trimAnswers() {
	for len(t.answerKeys) > 0 {
		if r := t.records[t.answerKeys[0]]; r != nil && r.answerSize > 0 {
			return
		}
		t.answerKeys = t.answerKeys[1:]
	}
}

// dropAnswer evicts an answer. Its key stays in the list until it reaches the
// front.
func (t *Table) dropAnswer(r *record) {
	if r == nil || r.answerSize == 0 {
		return
	}
	t.answersBytes -= r.answerSize
	r.answer, r.answerSize = nil, 0
}

// AnswersBytes returns the total size of the stored answers, in bytes.
func (t *Table) AnswersBytes() int { return t.answersBytes }
