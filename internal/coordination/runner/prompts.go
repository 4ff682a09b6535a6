package runner

import (
	"slices"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// maxRecentPrompts is the number of prompts that are kept for the entries that
	// did not send them. In the simulation of package routing, 8 gave the same hit
	// rate as all.
	maxRecentPrompts = 8
	// maxPromptBlocks bounds the blocks of one prompt.
	maxPromptBlocks = 64
	// maxToldEntries bounds the entries whose position is known. Beyond it all are
	// forgotten and receive some prompts again.
	maxToldEntries = 1024
)

// recentPrompts holds the prompts that a backend server was sent last, so that
// entries learn which prefixes it may have cached for requests of other entries.
// The zero value is empty.
type recentPrompts struct {
	admitted uint64
	ring     [maxRecentPrompts]recentPrompt
	told     map[string]uint64 // by entry: admitted when it was last told
}

type recentPrompt struct {
	number uint64 // from 1
	entry  string
	blocks []uint64
}

// add records the prompt of an admitted request.
func (p *recentPrompts) add(entry string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	p.admitted++
	p.ring[p.admitted%maxRecentPrompts] = recentPrompt{number: p.admitted, entry: entry, blocks: slices.Clone(blocks[:min(len(blocks), maxPromptBlocks)])}
}

// news returns the prompts that other entries have sent since this entry was last
// told, or nil if there are none.
func (p *recentPrompts) news(entry string) *peer.RecentPrompts {
	told := p.told[entry]
	if told == p.admitted {
		return nil
	}
	if p.told == nil || len(p.told) >= maxToldEntries {
		p.told = map[string]uint64{}
	}
	p.told[entry] = p.admitted
	oldest := p.admitted - min(p.admitted, maxRecentPrompts) + 1
	out := &peer.RecentPrompts{}
	if told > 0 && oldest > told+1 {
		out.Missed = oldest - told - 1
	}
	for number := max(oldest, told+1); number <= p.admitted; number++ {
		if r := &p.ring[number%maxRecentPrompts]; r.entry != entry {
			out.Prompts = append(out.Prompts, &peer.RecentPrompt{Blocks: r.blocks})
		}
	}
	if out.Missed == 0 && len(out.Prompts) == 0 {
		return nil
	}
	return out
}

func (b *backend) addPrompt(req *peer.DispatchRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prompts.add(req.GetEntry().GetId(), req.PromptBlocks)
}

func (b *backend) promptNews(req *peer.DispatchRequest) *peer.RecentPrompts {
	if len(req.PromptBlocks) == 0 {
		// The entry keeps no table, or the request has no prompt.
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prompts.news(req.GetEntry().GetId())
}
