package size

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestParse guards against a size that is taken from an unusable value, and against
// a usable one that is lost because of another that is not.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		counts, parts, length string
		want                  Hint
		problems              []Problem
	}{
		"nothing given":         {},
		"all given":             {"710,161", "a:40,b:670", "120", Hint{710, 161, 120}, nil},
		"spaces":                {" 710 , 161 ", "a:40, b:670", " 120 ", Hint{710, 161, 120}, nil},
		"prompt only":           {"710", "", "", Hint{PromptTokens: 710}, nil},
		"parts only":            {"", "a:40,b:670", "", Hint{PromptTokens: 710}, nil},
		"hint above maximum":    {"710,161", "", "500", Hint{710, 161, 161}, nil},
		"fraction":              {"", "", "120.7", Hint{AnswerTokens: 120}, nil},
		"not numbers":           {"many,few", "", "", Hint{}, []Problem{BadCounts}},
		"one not a number":      {"710,few", "", "", Hint{PromptTokens: 710}, []Problem{BadCounts}},
		"negative":              {"-5,161", "", "", Hint{MaxAnswerTokens: 161}, []Problem{BadCounts}},
		"huge":                  {"99999999999999999999,161", "", "", Hint{MaxAnswerTokens: 161}, []Problem{HugeCounts}},
		"parts contradict":      {"710,161", "a:40,b:900", "", Hint{940, 161, 0}, []Problem{PartsDisagree}},
		"parts without tokens":  {"710,161", "a,b", "", Hint{710, 161, 0}, []Problem{BadParts}},
		"huge parts":            {"710,161", "a:2097152,b:1", "", Hint{710, 161, 0}, []Problem{BadParts}},
		"hint of zero":          {"710,161", "", "0", Hint{710, 161, 0}, []Problem{BadAnswerLength}},
		"hint is not a number":  {"710,161", "", "NaN", Hint{710, 161, 0}, []Problem{BadAnswerLength}},
		"hint huge":             {"710,161", "", "1e30", Hint{710, 161, 0}, []Problem{HugeAnswerLength}},
		"everything is invalid": {",", ":", "-", Hint{}, []Problem{BadCounts, BadParts, BadAnswerLength}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, problems := Parse(test.counts, test.parts, test.length)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.problems, problems); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestParseBounds guards against values outside the bounds, whatever a caller sends.
func TestParseBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.OneOf(rapid.String(), rapid.StringMatching(`[-0-9a-f:,. ]{0,30}`))
		h, problems := Parse(value.Draw(t, "counts"), value.Draw(t, "parts"), value.Draw(t, "length"))
		for _, tokens := range []int{h.PromptTokens, h.MaxAnswerTokens, h.AnswerTokens} {
			if tokens < 0 || tokens > MaxTokens {
				t.Fatalf("%d tokens", tokens)
			}
		}
		if len(problems) > 3 {
			t.Fatalf("%d problems of three values", len(problems))
		}
	})
}

// BenchmarkParse measures the cost of a request with all three values.
func BenchmarkParse(b *testing.B) {
	parts := strings.Repeat("5c1e07a2:100,", 6) + "last:110"
	for b.Loop() {
		Parse("710,161", parts, "120")
	}
}
