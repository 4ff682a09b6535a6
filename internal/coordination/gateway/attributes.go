package gateway

import (
	"strings"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/size"
)

// attributeLogInterval is the least time between two log lines about the same kind
// of invalid attribute.
const attributeLogInterval = time.Second

// leastUrgent is the highest value of the urgency header; 0 is the most urgent.
const leastUrgent = 9

// invalidAttributes bounds the log lines about invalid attributes of requests. It is
// guarded by the mutex of the gateway.
type invalidAttributes struct {
	loggedAt map[size.Problem]time.Time
	// skipped is the number of requests since the last line.
	skipped map[size.Problem]int
}

// mayLog reports whether a problem is logged now, and the number of lines that were
// left out before.
func (a *invalidAttributes) mayLog(now time.Time, problem size.Problem) (skipped int, ok bool) {
	if a.loggedAt == nil {
		a.loggedAt, a.skipped = map[size.Problem]time.Time{}, map[size.Problem]int{}
	}
	if at, logged := a.loggedAt[problem]; logged && now.Sub(at) < attributeLogInterval {
		a.skipped[problem]++
		return 0, false
	}
	skipped = a.skipped[problem]
	a.loggedAt[problem], a.skipped[problem] = now, 0
	return skipped, true
}

// readSize reads the size of the request from its headers. Values that cannot be used
// count as not given.
func (c *call) readSize() {
	names := &c.gateway.cfg.HeaderNames
	value := func(name string) string {
		if name == "" {
			return ""
		}
		return strings.Join(c.request.Header.Values(name), ",")
	}
	counts, parts, length := value(names.TokenCounts), value(names.PromptParts), value(names.LengthHint)
	hint, problems := size.Parse(counts, parts, length)
	c.size = hint
	for _, problem := range problems {
		c.gateway.metrics.count("attributes_ignored", problem.String())
		c.gateway.mu.Lock()
		skipped, ok := c.gateway.invalidAttributes.mayLog(c.arrived, problem)
		c.gateway.mu.Unlock()
		if ok {
			c.gateway.log.Info("an attribute of a request is ignored", "request_id", c.id, "reason", problem.String(), "skipped", skipped,
				"token_counts", bounded(counts), "prompt_parts", bounded(parts), "length_hint", bounded(length))
		}
	}
}

// bounded returns the beginning of a header value for a log line.
func bounded(value string) string { return value[:min(maxLoggedValue, len(value))] }

// urgency returns the value of the urgency header for a priority.
func urgency(priority int) int { return min(leastUrgent, max(0, priority)) }

// accountName returns the name of the client account, or "" for a request without
// one.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// pickService sets the service of the call and what follows from it.
func (c *call) pickService() {
	c.service = c.route.PickService(c.gateway.randomFloat())
	spec, ok := c.index.Service(c.service)
	c.usesUrgency = ok && spec.Engine != nil && c.gateway.cfg.HeaderNames.Urgency != ""
	c.setMaxWait(c.index)
}
