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
	// contextBefore is how long before a request's first line the lines about
	// its backend servers are of interest.
	contextBefore = 10 * time.Second
)

// ConditionChanged is the message of a line that tells what a process believes from
// then on of a group, a backend server or a failure domain.
const ConditionChanged = "belief changed"

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Module  string
	Level   string
	Message string
	Fields  map[string]any
	// Source names the file, and what stood before the JSON text.
	Source string
}

// Read returns the lines of a log that hold JSON text. Others, and what stands
// before the text, are passed over.
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
			continue // a line of another kind
		}
		l := Line{Fields: fields, Source: strings.TrimSpace(source + " " + strings.TrimSpace(string(scanner.Bytes()[:begin])))}
		l.Module, _ = fields["@module"].(string)
		l.Level, _ = fields["@level"].(string)
		l.Message, _ = fields["@message"].(string)
		if text, ok := fields["@timestamp"].(string); ok {
			l.Time, _ = time.Parse(time.RFC3339Nano, text) // zero for another form
		}
		for _, name := range []string{"@module", "@level", "@message", "@timestamp"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "logging: %s", source)
}

var serverPattern = regexp.MustCompile(`^\S+`)

// process names the process that wrote a line: the last word of its source.
func (l Line) process() string { return l.Source[strings.LastIndexByte(l.Source, ' ')+1:] }

// Explain writes, in order of time, all lines about a request, and from shortly
// before on those about the backend servers that it was sent to, and what its
// process believed of groups and failure domains. It returns false if no line
// names the request.
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
	var story []Line
	for _, l := range lines {
		name, _ := l.Fields["backend_server"].(string)
		believed := l.Message == ConditionChanged && name == "" && processes[l.process()]
		about := (servers[name] || believed) && l.Time.After(first.Add(-contextBefore)) && !l.Time.After(first.Add(time.Second))
		if l.Fields["request_id"] == request || about {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time.Before(story[j].Time) })
	for _, l := range story {
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
