package intent

import (
	"fmt"
	"reflect"
	"strings"
)

//go:generate go tool stringer -type=Section,Action -linecomment -output=compare_string.go

// Section is a part of an intent.
type Section uint8

// The sections, in the order in which changes are listed.
const (
	SectionRegion        Section = iota // region
	SectionFailureDomain                // failure_domain
	SectionService                      // service
	SectionBackendServer                // backend_server
	SectionClientAccount                // client_account
)

// Action is the kind of change to an item.
type Action uint8

// The actions.
const (
	Added   Action = iota // added
	Removed               // removed
	Changed               // changed
)

// Change is one difference between two intents.
type Change struct {
	Section Section
	Action  Action
	Name    string
	// Details lists the fields that differ, as "field: old -> new".
	Details []string
}

// String returns the change as one line.
func (c Change) String() string {
	line := fmt.Sprintf("%v %q %v", c.Section, c.Name, c.Action)
	if len(c.Details) > 0 {
		line += ": " + strings.Join(c.Details, ", ")
	}
	return line
}

// Compare returns the changes from old to next. Items are matched by name, and
// their order is ignored. Within a section, removed items come first, then added
// and changed ones in the order of next.
func Compare(old, next Intent) []Change {
	var changes []Change
	if old.Region != next.Region {
		changes = append(changes, Change{Section: SectionRegion, Action: Changed, Name: next.Region, Details: []string{formatChange("region", old.Region, next.Region)}})
	}
	changes = append(changes, compareItems(SectionFailureDomain, old.FailureDomains, next.FailureDomains, func(d FailureDomain) string { return d.Name })...)
	changes = append(changes, compareItems(SectionService, old.Services, next.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, compareItems(SectionBackendServer, old.BackendServers, next.BackendServers, func(b BackendServer) string { return b.Name })...)
	return append(changes, compareItems(SectionClientAccount, old.ClientAccounts, next.ClientAccounts, func(a ClientAccount) string { return a.Name })...)
}

func compareItems[T any](section Section, old, next []T, name func(T) string) []Change {
	var changes []Change
	before, after := byName(old, name), byName(next, name)
	for _, item := range old {
		if _, ok := after[name(item)]; !ok {
			changes = append(changes, Change{Section: section, Action: Removed, Name: name(item)})
		}
	}
	for _, item := range next {
		previous, ok := before[name(item)]
		if !ok {
			changes = append(changes, Change{Section: section, Action: Added, Name: name(item), Details: changedFields(*new(T), item)})
			continue
		}
		if details := changedFields(previous, item); len(details) > 0 {
			changes = append(changes, Change{Section: section, Action: Changed, Name: name(item), Details: details})
		}
	}
	return changes
}

func byName[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// changedFields returns the fields that differ, by their TOML names, without the
// name of the item.
func changedFields[T any](old, next T) []string {
	var out []string
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("toml"), ",")
		x, y := a.Field(i), b.Field(i)
		if field == "name" || x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(x.Interface(), y.Interface()) {
			out = append(out, formatChange(field, x.Interface(), y.Interface()))
		}
	}
	return out
}

// formatChange formats the change of a field. Key digests are omitted, since they
// do not help to review a plan.
func formatChange(field string, old, next any) string {
	if field == "key_sha256" {
		return field + " set"
	}
	return fmt.Sprintf("%s: %s -> %s", field, formatValue(old), formatValue(next))
}

func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case []string:
		return fmt.Sprintf("%q", v)
	case []Route:
		routes := make([]string, len(v))
		for i, r := range v {
			routes[i] = strings.TrimSpace(fmt.Sprintf("%s %s repeatable=%v", r.Method, r.Path, r.Repeatable))
		}
		return "[" + strings.Join(routes, "; ") + "]"
	}
	return fmt.Sprint(v)
}
