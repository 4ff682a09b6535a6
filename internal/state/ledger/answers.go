package ledger

// answers holds the stored answers in the order in which they were stored.
type answers struct {
	byKey        map[id]storedAnswer
	queue        []queuedAnswer
	lastSequence uint64 // sequence number of the newest answer
	bytes        int
}

type storedAnswer struct {
	data     []byte
	sequence uint64
}

// queuedAnswer is stale if byKey holds no answer, or one with another sequence
// number, for the key.
type queuedAnswer struct {
	key      id
	sequence uint64
}

func newAnswers() answers { return answers{byKey: map[id]storedAnswer{}} }

func (a *answers) get(key id) []byte { return a.byKey[key].data }

func (a *answers) put(key id, data []byte) {
	a.drop(key)
	a.lastSequence++
	a.byKey[key] = storedAnswer{data: data, sequence: a.lastSequence}
	a.queue = append(a.queue, queuedAnswer{key: key, sequence: a.lastSequence})
	a.bytes += len(data)
	a.compact()
}

func (a *answers) drop(key id) {
	s, ok := a.byKey[key]
	if !ok {
		return
	}
	a.bytes -= len(s.data)
	delete(a.byKey, key)
}

// dropOldest drops the oldest answer and returns its key, or a zero id if there
// is none.
func (a *answers) dropOldest() id {
	for len(a.queue) > 0 {
		q := a.queue[0]
		a.queue = a.queue[1:]
		if a.isCurrent(q) {
			a.drop(q.key)
			return q.key
		}
	}
	return id{}
}

func (a *answers) isCurrent(q queuedAnswer) bool {
	s, ok := a.byKey[q.key]
	return ok && s.sequence == q.sequence
}

// compact removes the stale elements of a queue of at least 1024 elements once
// they are at least half of it.
func (a *answers) compact() {
	if len(a.queue) < 1024 || len(a.queue) < 2*len(a.byKey) {
		return
	}
	kept := make([]queuedAnswer, 0, len(a.byKey))
	for _, q := range a.queue {
		if a.isCurrent(q) {
			kept = append(kept, q)
		}
	}
	a.queue = kept
}
