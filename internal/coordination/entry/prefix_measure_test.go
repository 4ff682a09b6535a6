package entry

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/standin"
)

var measurePrefix = flag.Bool("measure", false, "run the measurement of cached prefixes on stand-in engines and print it")

// Parameters of the measured load. An engine reads 64 tokens per step of 10 ms; a
// prompt of 250 tokens takes four steps, its shared 200 tokens three of them. The
// cold limit of the engines is their limit: an agent takes a prefix that was
// evicted while memory is free for a lost cache, and would lower the limit.
const (
	prefixEngines  = 6
	prefixRequests = 500
	prefixRate     = 40 // per second
	prefixShared   = 800
	prefixOwn      = 200
	// memoryTokens is the memory of an engine, half of which caches prefixes: 13 of
	// the shared texts.
	memoryTokens = 5000
)

// prefixOutcome is what the callers of one measurement got.
type prefixOutcome struct {
	first          []time.Duration
	prompt, cached uint64
	failed         int
	perEngine      []int
}

func (o *prefixOutcome) String() string {
	slices.Sort(o.first)
	at := func(q float64) int64 { return o.first[int(q*float64(len(o.first)-1))].Milliseconds() }
	busiest, sum := slices.Max(o.perEngine), 0
	for _, n := range o.perEngine {
		sum += n
	}
	return fmt.Sprintf("first token p50 %3d ms, p95 %3d ms, hit rate %.3f, busiest engine %.2f of the mean, failed %d of %d",
		at(0.5), at(0.95), float64(o.cached)/float64(max(o.prompt, 1)), float64(busiest)*float64(len(o.perEngine))/float64(sum), o.failed, prefixRequests)
}

// sendPrompt sends one streamed completion, and returns the time to the first
// token and the prompt and cached tokens that the engine reports.
func sendPrompt(address, prompt string) (first time.Duration, prompted, cached uint64, err error) {
	body, err := json.Marshal(map[string]any{"model": "pool", "prompt": prompt, "stream": true, "max_tokens": 16})
	if err != nil {
		return 0, 0, 0, err
	}
	req, err := http.NewRequest("POST", "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return 0, 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	began := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, 0, 0, fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" || first > 0 {
			continue
		}
		first = time.Since(began)
		var event struct {
			Engine struct {
				Prompt uint64 `json:"prompt_tokens"`
				Cached uint64 `json:"cached_tokens"`
			} `json:"engine"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return 0, 0, 0, err
		}
		prompted, cached = event.Engine.Prompt, event.Engine.Cached
	}
	return first, prompted, cached, lines.Err()
}

// TestMeasurePrefixes compares what callers get with and without the preference
// for cached prefixes, on stand-in engines behind a real agent and entry. It
// guards against a preference that costs more than it saves: the hit rate must
// be higher and no request may fail that does not fail without it.
func TestMeasurePrefixes(t *testing.T) {
	if !*measurePrefix {
		t.Skip("runs with -measure")
	}
	loads := map[string]struct {
		beginnings  int
		cacheTokens uint64
	}{
		"many beginnings":        {beginnings: 40, cacheTokens: memoryTokens / 2},
		"followers of one":       {beginnings: 1, cacheTokens: memoryTokens / 2},
		"engines without caches": {beginnings: 40, cacheTokens: 1},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			off := routing.DefaultWeights()
			off.PrefillSeconds = 1e-12 // A saving of nothing: only the wait counts.
			without := measurePrompts(t, load.beginnings, load.cacheTokens, off)
			with := measurePrompts(t, load.beginnings, load.cacheTokens, routing.DefaultWeights())
			fmt.Printf("%-22s  without  %v\n%-22s  with     %v\n", name, without, name, with)
			if with.failed > without.failed {
				t.Errorf("%d requests failed with the preference, %d without", with.failed, without.failed)
			}
			if load.beginnings > 1 && load.cacheTokens > 1 && with.cached <= without.cached {
				t.Errorf("%d tokens were cached with the preference, %d without", with.cached, without.cached)
			}
		})
	}
}

func measurePrompts(t *testing.T, beginnings int, cacheTokens uint64, weights routing.Weights) *prefixOutcome {
	var out *prefixOutcome
	t.Run("", func(t *testing.T) {
		var engines []standin.EngineConfig
		for i := range prefixEngines {
			engines = append(engines, standin.EngineConfig{
				Name: fmt.Sprintf("prefix-%d", i), Service: "pool", MemoryTokens: memoryTokens, MaxConcurrent: 16, StartWarm: true,
				StepTime: 10 * time.Millisecond, PrefillTokens: 64, CacheTokens: cacheTokens, MinBytesPerToken: 4, ColdConcurrent: 16, Resumes: true,
			})
		}
		d := startDeploymentWith(t, nil, engines, func(r *Role) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.view = routing.New(routing.Config{Region: "r1", FailureDomain: "d1", Random: rand.New(rand.NewPCG(1, 1)), Weights: weights})
		})
		out = loadPrompts(t, d.entry.Address(), d.engines, beginnings)
	})
	return out
}

func loadPrompts(t *testing.T, address string, engines []*standin.Engine, beginnings int) *prefixOutcome {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	text := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte('a' + random.IntN(26))
		}
		return string(b)
	}
	var shared []string
	for range beginnings {
		shared = append(shared, text(prefixShared))
	}
	rank := rand.NewZipf(random, 1.1, 8, uint64(beginnings-1))
	out := &prefixOutcome{}
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / prefixRate)
	defer ticker.Stop()
	for range prefixRequests {
		<-ticker.C
		prompt := shared[rank.Uint64()] + text(prefixOwn)
		group.Go(func() {
			first, prompted, cached, err := sendPrompt(address, prompt)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.failed++
				return
			}
			out.first, out.prompt, out.cached = append(out.first, first), out.prompt+prompted, out.cached+cached
		})
	}
	group.Wait()
	for _, e := range engines {
		out.perEngine = append(out.perEngine, int(e.Record().Ran))
	}
	return out
}
