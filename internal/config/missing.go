package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Detection of a truncated file: a key that the file in force sets may not be missing from the file
// that replaces it, because a default would take its place unnoticed.

// presentKeys records which keys a file sets.
type presentKeys struct {
	keys    map[string]bool // outside of lists of named entries
	classes []presentEntry
	tenants []presentEntry
}

// presentEntry records which keys one entry of a list sets.
type presentEntry struct {
	path string // of the entry, such as settings.services.0
	name string
	keys map[string]bool
}

// optionalEntryKeys are keys that an entry may lose: the wire page lets them be absent.
var optionalEntryKeys = map[string]bool{"aim_stretch": true}

// presentKeys returns which keys the file sets.
func (f *file) presentKeys(settings Values) presentKeys {
	p := presentKeys{keys: map[string]bool{"name": f.Name != "", "listen": f.Listen != "", "discovery": f.Discovery != "",
		"operator": f.Operator != "", "seed": f.Seed != "", "known": len(f.Known.Servers) > 0,
		"limits.cores": f.Limits.Cores != 0, "limits.memory_mb": f.Limits.MemoryMB != 0, "limits.sockets": f.Limits.Sockets != 0,
		"chat.listen": f.Chat.Listen != "", "chat.models": len(f.Chat.Models) > 0, "chat.max_output": f.Chat.MaxOutput != 0}}
	classes, tenants := map[string]*presentEntry{}, map[string]*presentEntry{}
	for path, value := range settings {
		if value == "" {
			continue // null, an empty text or an empty list
		}
		list, rest, _ := strings.Cut(path, ".")
		switch list {
		case "services":
			addToEntry(classes, list, rest, value)
		case "tenants":
			addToEntry(tenants, list, rest, value)
		default:
			p.keys["settings."+path] = true
		}
	}
	p.classes, p.tenants = sortedEntries(classes), sortedEntries(tenants)
	return p
}

// addToEntry records a key of a list, such as 0.name, in the entry that it belongs to. Keys of the
// list itself, such as its count, belong to none.
func addToEntry(entries map[string]*presentEntry, list, key, value string) {
	index, field, ok := strings.Cut(key, ".")
	if !ok {
		return
	}
	e := entries[index]
	if e == nil {
		e = &presentEntry{path: "settings." + list + "." + index, keys: map[string]bool{}}
		entries[index] = e
	}
	e.keys[field] = true
	if field == "name" {
		e.name = value
	}
}

func sortedEntries(entries map[string]*presentEntry) []presentEntry {
	var sorted []presentEntry
	for _, e := range entries {
		sorted = append(sorted, *e)
	}
	slices.SortFunc(sorted, func(a, b presentEntry) int { return cmp.Compare(a.path, b.path) })
	return sorted
}

// CheckMissingKeys returns an error that names a key that the file in force sets and c lacks. A
// truncated file must not be taken for a complete one. Whole classes and tenants may be dropped.
func (c Config) CheckMissingKeys(inForce Config) error {
	for _, key := range slices.Sorted(maps.Keys(inForce.present.keys)) {
		if inForce.present.keys[key] && !c.present.keys[key] {
			return missing(key)
		}
	}
	if err := checkMissingInEntries(c.present.classes, inForce.present.classes); err != nil {
		return err
	}
	return checkMissingInEntries(c.present.tenants, inForce.present.tenants)
}

func missing(key string) *Fault { return &Fault{key, "missing, and the file in force has it"} }

// checkMissingInEntries compares the entries of a list with those in force. An entry that was there
// before must set what it set then, and a new one what all of those before set.
func checkMissingInEntries(next, inForce []presentEntry) error {
	for _, e := range next {
		for _, key := range slices.Sorted(maps.Keys(expectedKeys(e.name, inForce))) {
			if !e.keys[key] && !optionalEntryKeys[key] {
				return missing(e.path + "." + key)
			}
		}
	}
	return nil
}

// expectedKeys returns the keys of the entry in force that has the name, or if there is none, the
// keys that all entries in force have in common.
func expectedKeys(name string, inForce []presentEntry) map[string]bool {
	var common map[string]bool
	for _, e := range inForce {
		if e.name == name {
			return e.keys
		}
		if common == nil {
			common = maps.Clone(e.keys)
		}
		maps.DeleteFunc(common, func(key string, _ bool) bool { return !e.keys[key] })
	}
	return common
}

// requireInClass fails if a class lacks a key that it cannot do without. The zone or cell of a
// deduplicated class has no safe default: repeats elsewhere would run again.
func (c *decoder) requireInClass(path string) {
	required := []string{"name", "goal_time_us", "deadline_us", "repeat"}
	if c.values[path+"repeat"] == "deduplicated" {
		required = append(required, "key_scope")
	}
	for _, key := range required {
		if c.values[path+key] == "" {
			c.fail(path+key, "missing")
		}
	}
}
