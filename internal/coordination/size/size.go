/*
Package size reads what a caller says about the size of its request.

# Concept

Three headers describe a request to a model engine: the tokens of its prompt and
the most that its answer may have, the tokens of each part of the prompt, and the
expected length of the answer. None of them is required, and none of them is
trusted: a value that cannot be used counts as not given, and the request is
served like one that says nothing. How well a hint predicts the work is measured
by the user of the estimate.

# Use

	hint, problems := size.Parse(counts, parts, length)
	if hint.PromptTokens == 0 { // not known: use the mean of the service }
*/
package size

import (
	"strconv"
	"strings"
)

//go:generate go tool stringer -type=Problem -linecomment -output=size_string.go

// MaxTokens bounds a number of tokens. Larger values exceed the memory of any
// engine and count as not given.
const MaxTokens = 1 << 21

// Hint is the size of a request according to its caller. A field is 0 if the
// caller has not given a usable value.
type Hint struct {
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
	// MaxAnswerTokens bounds the tokens of the answer.
	MaxAnswerTokens int
	// AnswerTokens is the expected number of tokens of the answer, at most
	// MaxAnswerTokens.
	AnswerTokens int
}

// Problem is a reason why a value was not used as it was given.
type Problem uint8

// The problems, with the default that takes the place of the value.
const (
	BadCounts        Problem = iota // counts_unreadable
	HugeCounts                      // counts_too_large
	BadParts                        // parts_unreadable
	PartsDisagree                   // parts_contradict_counts
	BadAnswerLength                 // length_hint_unreadable
	HugeAnswerLength                // length_hint_too_large
)

// Parse returns the size given by the three values, each of which may be empty:
// counts is "prompt tokens,maximum answer tokens", parts a list of ID:TOKENS, and
// length the expected answer tokens. Where the parts contradict the counts, the
// larger number of tokens counts, since it is the safer one for the engine.
func Parse(counts, parts, length string) (Hint, []Problem) {
	var h Hint
	var problems []Problem
	if counts != "" {
		prompt, most, _ := strings.Cut(counts, ",")
		promptTokens, promptOK := parseTokens(prompt)
		mostTokens, mostOK := 0, true
		if strings.TrimSpace(most) != "" {
			mostTokens, mostOK = parseTokens(most)
		}
		switch {
		case !promptOK || !mostOK:
			problems = append(problems, BadCounts)
		case promptTokens > MaxTokens || mostTokens > MaxTokens:
			problems = append(problems, HugeCounts)
		}
		h.PromptTokens, h.MaxAnswerTokens = usable(promptTokens), usable(mostTokens)
	}
	if parts != "" {
		total, ok := sumParts(parts)
		switch {
		case !ok:
			problems = append(problems, BadParts)
		case h.PromptTokens > 0 && total != h.PromptTokens:
			problems = append(problems, PartsDisagree)
			h.PromptTokens = max(h.PromptTokens, total)
		default:
			h.PromptTokens = total
		}
	}
	if length != "" {
		tokens, err := strconv.ParseFloat(strings.TrimSpace(length), 64)
		switch {
		case err != nil || !(tokens >= 1):
			problems = append(problems, BadAnswerLength)
		case tokens > MaxTokens:
			problems = append(problems, HugeAnswerLength)
		default:
			h.AnswerTokens = int(tokens)
		}
	}
	if h.MaxAnswerTokens > 0 {
		h.AnswerTokens = min(h.AnswerTokens, h.MaxAnswerTokens)
	}
	return h, problems
}

// parseTokens returns a number of tokens, which is above MaxTokens if it does not
// fit into an int.
func parseTokens(text string) (int, bool) {
	text = strings.TrimSpace(text)
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return MaxTokens + 1, true
	}
	return n, true
}

// usable returns tokens, or 0 for a number that is too large.
func usable(tokens int) int {
	if tokens > MaxTokens {
		return 0
	}
	return tokens
}

// sumParts returns the tokens of all parts.
func sumParts(parts string) (int, bool) {
	total := 0
	for part := range strings.SplitSeq(parts, ",") {
		i := strings.LastIndexByte(part, ':')
		if i < 0 {
			return 0, false
		}
		tokens, ok := parseTokens(part[i+1:])
		if !ok || tokens > MaxTokens {
			return 0, false
		}
		if total += tokens; total > MaxTokens {
			return 0, false
		}
	}
	return total, true
}
