package fault

// Body is the JSON form of an Error that callers and operators receive.
type Body struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// Body returns the JSON form of e without the cause, since a cause may contain
// addresses of internal hosts.
func (e *Error) Body(requestID string) Body {
	return Body{
		Kind:         e.Kind.String(),
		Message:      e.Message,
		Ran:          e.Ran.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}
}
