package ledger

// advance updates the ledger's time and removes up to expiryBatch expired
// records.
func (l *Ledger) advance(nowMS uint64) {
	l.now, l.wall = l.timeAt(nowMS), seconds(nowMS)
	for range expiryBatch {
		if !l.expireHead() {
			return
		}
	}
}

// timeAt returns the ledger's time at a leader's time. A forward step of the
// leader's clock counts for at most maxStepSeconds, so that a wrong clock does
// not expire keys early. A backward step does not change the ledger's time.
func (l *Ledger) timeAt(nowMS uint64) uint32 {
	wall := seconds(nowMS)
	if wall <= l.wall {
		return l.now
	}
	return l.now + min(wall-l.wall, maxStepSeconds)
}

// expireHead removes the oldest record if it is free or its retention period is
// over. It moves an unresolved record to the tail instead, so that the record is
// kept and does not block the expiry of others. It returns false if the oldest
// record has not expired.
func (l *Ledger) expireHead() bool {
	if l.table.len() == 0 {
		return false
	}
	r := *l.table.at(l.table.head)
	switch {
	case r.state == free:
		l.table.dropHead()
	case !isExpired(l.now, r.time):
		return false
	case r.isUnresolved():
		r.time = l.now
		l.table.append(r)
		l.table.dropHead()
	default:
		l.answers.drop(r.id)
		l.table.dropHead()
	}
	return true
}

func (l *Ledger) find(key id) *record { return l.findAt(l.now, key) }

// findAt returns the record of a key, or nil if there is none or if its
// retention period is over.
func (l *Ledger) findAt(now uint32, key id) *record {
	pos, ok := l.table.find(key)
	if !ok {
		return nil
	}
	r := l.table.at(pos)
	if !r.isUnresolved() && isExpired(now, r.time) {
		return nil
	}
	return r
}

func (r *record) isUnresolved() bool { return r.state == running || r.state == unknown }

func isExpired(now, changed uint32) bool { return now >= changed && now-changed >= RetentionSeconds }

func seconds(ms uint64) uint32 { return uint32(ms / 1000) }
