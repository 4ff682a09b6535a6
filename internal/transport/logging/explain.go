package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds a line of a log file.
	maxLineBytes = 1 << 20
	// contextBefore is the period before a request's first line from which
	// [Explain] includes related lines.
	contextBefore = 10 * time.Second
)

// ConditionChanged is the message of a log line with the new condition of a
// group, backend server or failure domain, as inferred by a process.
const ConditionChanged = "belief changed"

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Module  string
	Level   string
	Message string
	Fields  map[string]any
	// Source is the name of the file, followed by the text before the JSON object.
	Source string
}

// Read returns the lines of a log that contain a JSON object. Other lines are
// skipped.
func Read(source string, r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		begin := bytes.IndexByte(scanner.Bytes(), '{')
		if begin < 0 {
			continue
		}
		fields := map[string]any{}
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()[begin:]))
		decoder.UseNumber()
		if err := decoder.Decode(&fields); err != nil {
			continue // not a log line in JSON
		}
		l := Line{Fields: fields, Source: strings.TrimSpace(source + " " + strings.TrimSpace(string(scanner.Bytes()[:begin])))}
		l.Module, _ = fields["@module"].(string)
		l.Level, _ = fields["@level"].(string)
		l.Message, _ = fields["@message"].(string)
		if text, ok := fields["@timestamp"].(string); ok {
			l.Time, _ = time.Parse(time.RFC3339Nano, text) // zero if the format differs
		}
		for _, name := range []string{"@module", "@level", "@message", "@timestamp"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "logging: %s", source)
}

var serverPattern = regexp.MustCompile(`^\S+`)

// process returns the name of the process that wrote a line, the last word of its
// source.
func (l Line) process() string { return l.Source[strings.LastIndexByte(l.Source, ' ')+1:] }

// Explain writes, in chronological order, all lines about a request, and the
// related lines from contextBefore before its first line to 1 s after it: those
// about the backend servers that the request was sent to, and those with a changed
// condition of a group or failure domain in a process that handled the request. It
// returns false if no line names the request.
func Explain(w io.Writer, request string, lines []Line) bool {
	servers, processes, first := map[string]bool{}, map[string]bool{}, time.Time{}
	for _, l := range lines {
		if l.Fields["request_id"] != request {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		processes[l.process()] = true
		attempts, _ := l.Fields["attempts"].([]any)
		for _, a := range attempts {
			servers[serverPattern.FindString(fmt.Sprint(a))] = true
		}
	}
	if first.IsZero() {
		return false
	}
	var selected []Line
	for _, l := range lines {
		name, _ := l.Fields["backend_server"].(string)
		conditionChange := l.Message == ConditionChanged && name == "" && processes[l.process()]
		related := (servers[name] || conditionChange) && l.Time.After(first.Add(-contextBefore)) && !l.Time.After(first.Add(time.Second))
		if l.Fields["request_id"] == request || related {
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Time.Before(selected[j].Time) })
	for _, l := range selected {
		l.write(w)
	}
	return true
}

func (l Line) write(w io.Writer) {
	fmt.Fprintf(w, "%s  %s  %s: %s\n", l.Time.UTC().Format("15:04:05.000"), l.Source, l.Module, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if list, ok := l.Fields[name].([]any); ok {
			for i, v := range list {
				fmt.Fprintf(w, "    %s %d: %v\n", name, i+1, v)
			}
			continue
		}
		fmt.Fprintf(w, "    %s: %v\n", name, l.Fields[name])
	}
}
