package prefix

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of a prompt that are considered.
	maxParts = 64
	// maxPartTokens bounds the tokens of one part; a larger number is invalid.
	maxPartTokens = 1 << 24
	// tableSets and tableWays are the size of a table: 8,192 prefixes.
	tableSets = 1 << 11
	tableWays = 4
	// MaxHolders is the number of backend servers recorded per prefix.
	MaxHolders = 4
	// followerWindow is the time over which requests with one prefix are counted.
	// Loads of other entries are up to 0.8 s old.
	followerWindow = 800 * time.Millisecond
	// frequencyWindow is the number of requests over which the frequency of a prefix
	// is measured.
	frequencyWindow = 256
)

// Prompt is the chain of the shareable prefixes of a prompt, the shortest first.
type Prompt struct {
	hashes []uint64
	tokens []float64 // cumulative
	total  float64   // with the part that belongs to the request alone
}

// ParseParts returns the prefixes of a prompt from a list of the form
// "ID:TOKENS,ID:TOKENS". The last part belongs to the request alone. An invalid
// part ends the list: what follows it is not shared.
func ParseParts(list string) Prompt {
	var p Prompt
	if list == "" {
		return p
	}
	entries := strings.Split(list, ",")
	last := uint64(0)
	for i, entry := range entries {
		id, number, _ := strings.Cut(strings.TrimSpace(entry), ":")
		id = strings.ToLower(strings.TrimSpace(id))
		n, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
		if id == "" || err != nil || n == 0 || n > maxPartTokens || i > maxParts {
			break
		}
		p.total += float64(n)
		if i == len(entries)-1 || i == maxParts {
			break
		}
		last = chain(last, id, n)
		p.hashes = append(p.hashes, last)
		p.tokens = append(p.tokens, p.total)
	}
	return p
}

func chain(last uint64, id string, tokens uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], last)
	binary.LittleEndian.PutUint64(buf[8:], tokens)
	d := xxhash.New()
	d.Write(buf[:])
	d.WriteString(id)
	return d.Sum64()
}

// IsEmpty reports whether other prompts can share nothing with p.
func (p *Prompt) IsEmpty() bool { return len(p.hashes) == 0 }

// Cache is the assumed state of the cache of one incarnation of a backend server.
// The zero value is empty. It must not be copied after use.
type Cache struct {
	id      uint64
	arrived float64 // tokens sent and evicted
}

// Evict records that tokens were evicted from the cache.
func (c *Cache) Evict(tokens float64) { c.arrived += max(0, tokens) }

// Table records which prefixes were sent to which backend servers. Its size is
// fixed: a full set evicts its least recently used prefix. It is not safe for
// concurrent use.
type Table struct {
	sets   [][tableWays]entry
	lastID uint64
	tick   uint64 // prompts sent
	// read is the mean number of tokens of a prompt that were not cached.
	read float64
}

type entry struct {
	hash     uint64
	lastUsed uint64 // tick
	// uses is the number of prompts with this prefix, where those of
	// frequencyWindow ticks ago count 1/e.
	uses    float64
	holders [MaxHolders]holder
}

type holder struct {
	cache   uint64 // id of the cache; 0 is none
	arrived float64
	at      time.Time
	// followers are the requests with this prefix since windowStart.
	followers   float64
	windowStart time.Time
}

// NewTable returns an empty table of about 2 MB.
func NewTable() *Table { return &Table{sets: make([][tableWays]entry, tableSets)} }

func (t *Table) find(hash uint64) *entry {
	set := &t.sets[hash%tableSets]
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

func (e *entry) holder(c *Cache) *holder {
	if c.id == 0 {
		return nil
	}
	for i := range e.holders {
		if e.holders[i].cache == c.id {
			return &e.holders[i]
		}
	}
	return nil
}

// Estimate is what the table tells about a prompt at one backend server.
type Estimate struct {
	// Tokens are cached there with the probability Held.
	Tokens float64
	Held   float64
	// Elsewhere is the probability that a backend server to which this entry has not
	// sent the prefix holds it: where most requests share a prefix, all do.
	Elsewhere float64
	// Followers is the number of requests with the prefix that this entry has sent
	// there recently.
	Followers float64
}

// Estimate returns the prefix of p with the most expected tokens in c, which has
// room for a number of tokens of all entries.
func (t *Table) Estimate(now time.Time, p *Prompt, c *Cache, room float64, entries int, lifetime time.Duration) Estimate {
	var best Estimate
	for i, hash := range p.hashes {
		e := t.find(hash)
		if e == nil {
			continue
		}
		h := e.holder(c)
		if h == nil {
			continue
		}
		held := Probability((c.arrived-h.arrived)*float64(entries), room, now.Sub(h.at), lifetime)
		if p.tokens[i]*held <= best.Tokens*best.Held {
			continue
		}
		// Between two prompts with the prefix, an average backend server reads those of
		// the other requests.
		between := t.read / min(1, t.uses(e)/frequencyWindow)
		best = Estimate{Tokens: p.tokens[i], Held: held, Elsewhere: Probability(between, room, 0, 0)}
		if now.Sub(h.windowStart) < followerWindow {
			best.Followers = h.followers
		}
	}
	return best
}

// uses returns the present number of uses of e.
func (t *Table) uses(e *entry) float64 {
	return e.uses * math.Exp(-float64(t.tick-e.lastUsed)/frequencyWindow)
}

// Sent records that p was sent to a backend server that had cached tokens of it.
func (t *Table) Sent(now time.Time, p *Prompt, c *Cache, cached float64) {
	if c.id == 0 {
		t.lastID++
		c.id = t.lastID
	}
	t.tick++
	read := max(0, p.total-cached)
	c.arrived += read
	if t.read == 0 {
		t.read = read
	}
	t.read += (read - t.read) / frequencyWindow
	for _, hash := range p.hashes {
		t.insert(now, hash, c)
	}
}

func (t *Table) insert(now time.Time, hash uint64, c *Cache) {
	e := t.find(hash)
	if e == nil {
		set := &t.sets[hash%tableSets]
		e = &set[0]
		for i := range set {
			if set[i].lastUsed < e.lastUsed {
				e = &set[i]
			}
		}
		*e = entry{hash: hash}
	}
	e.uses, e.lastUsed = t.uses(e)+1, t.tick
	h := e.holder(c)
	if h == nil {
		h = &e.holders[0]
		for i := range e.holders {
			if e.holders[i].at.Before(h.at) {
				h = &e.holders[i]
			}
		}
		*h = holder{cache: c.id}
	}
	h.arrived, h.at = c.arrived, now
	if now.Sub(h.windowStart) >= followerWindow {
		h.followers, h.windowStart = 0, now
	}
	h.followers++
}
