package entry

import "testing"

// TestCachedTokens guards against engines that report no cached tokens being taken
// for ones that had none cached.
func TestCachedTokens(t *testing.T) {
	tests := map[string]struct {
		event string
		want  uint64
		ok    bool
	}{
		"reported":     {`{"choices":[],"engine":{"prompt_tokens":9,"cached_tokens":7}}`, 7, true},
		"none cached":  {`{"engine":{"cached_tokens":0}}`, 0, true},
		"not reported": {`{"engine":{"prompt_tokens":9}}`, 0, false},
		"no engine":    {`{"choices":[]}`, 0, false},
		"negative":     {`{"engine":{"cached_tokens":-1}}`, 0, false},
		"not JSON":     {`[DONE]`, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got, ok := cachedTokens([]byte(test.event)); got != test.want || ok != test.ok {
				t.Errorf("got %d, %t, want %d, %t", got, ok, test.want, test.ok)
			}
		})
	}
}
