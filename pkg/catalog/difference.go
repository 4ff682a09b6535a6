package catalog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Differences returns one line for each route, service, client account and limit
// that differs between two catalogs. Keys are counted, not shown.
func Differences(from, to Catalog) []string {
	d := differ{}
	entries(&d, "route", from.Routes, to.Routes, func(r Route) string { return r.Name }, func(r Route) string { return r.Host + r.PathPrefix })
	entries(&d, "service", from.Services, to.Services, func(s Service) string { return s.Name }, nil)
	entries(&d, "client account", from.ClientAccounts, to.ClientAccounts, func(a ClientAccount) string { return a.Name }, nil)
	d.values("limits", "", reflect.ValueOf(from.Limits), reflect.ValueOf(to.Limits))
	return d.lines
}

type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// entries compares two lists of entries by name. Entries that share their name get
// the additional part of their identity, or their position among them.
func entries[T any](d *differ, kind string, from, to []T, name, more func(T) string) {
	shared := map[string]bool{}
	for _, list := range [][]T{from, to} {
		seen := map[string]bool{}
		for _, item := range list {
			shared[name(item)] = shared[name(item)] || seen[name(item)]
			seen[name(item)] = true
		}
	}
	keyed := func(list []T) (keys []string, byKey map[string]T) {
		byKey = map[string]T{}
		for _, item := range list {
			key := fmt.Sprintf("%s %q", kind, name(item))
			if shared[name(item)] && more != nil {
				key += " at " + more(item)
			}
			base := key
			for n := 2; ; n++ {
				if _, taken := byKey[key]; !taken {
					break
				}
				key = fmt.Sprintf("%s (%d)", base, n)
			}
			keys, byKey[key] = append(keys, key), item
		}
		return keys, byKey
	}
	oldKeys, old := keyed(from)
	newKeys, current := keyed(to)
	for _, key := range oldKeys {
		if _, kept := current[key]; !kept {
			d.add("%s removed", key)
		}
	}
	for _, key := range newKeys {
		if _, known := old[key]; !known {
			d.add("%s added", key)
			continue
		}
		d.values(key, "", reflect.ValueOf(old[key]), reflect.ValueOf(current[key]))
	}
}

// values adds a line for each field that differs.
func (d *differ) values(subject, field string, from, to reflect.Value) {
	if reflect.DeepEqual(from.Interface(), to.Interface()) {
		return
	}
	if keys, ok := from.Interface().([]string); ok {
		d.keys(subject, field, keys, to.Interface().([]string))
		return
	}
	if from.Kind() == reflect.Pointer && from.Type().Elem().Kind() == reflect.Struct && !from.IsNil() && !to.IsNil() {
		from, to = from.Elem(), to.Elem()
	}
	if from.Kind() == reflect.Struct {
		for i := range from.NumField() {
			name := snake(from.Type().Field(i).Name)
			if field != "" {
				name = field + "." + name
			}
			d.values(subject, name, from.Field(i), to.Field(i))
		}
		return
	}
	d.add("%s: %s %s -> %s", subject, field, text(from), text(to))
}

// keys compares lists of keys, which are secrets.
func (d *differ) keys(subject, field string, from, to []string) {
	added, removed := 0, 0
	for _, key := range to {
		if !slices.Contains(from, key) {
			added++
		}
	}
	for _, key := range from {
		if !slices.Contains(to, key) {
			removed++
		}
	}
	d.add("%s: %s, %d added, %d removed, now %d", subject, field, added, removed, len(to))
}

// text formats the value of a field.
func text(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case []Share:
		var parts []string
		for _, s := range value {
			parts = append(parts, fmt.Sprintf("%s:%d", s.Service, s.Weight))
		}
		return strings.Join(parts, ",")
	case string:
		return fmt.Sprintf("%q", value)
	}
	if v.Kind() == reflect.Pointer {
		switch {
		case v.IsNil():
			return "none"
		case v.Elem().Kind() == reflect.Struct:
			return "given"
		}
		v = v.Elem()
	}
	return fmt.Sprint(v.Interface())
}

// snake converts the name of a field to snake case.
func snake(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
