package daemon

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// optional are the keys that the settings may have or not, as their description says. All others that the running
// configuration has must be in a new one.
var optional = []string{"settings.profiles[].aim_stretch", "settings.specifics.passes_deadline", "settings.specifics.warm_keys",
	"settings.prices.fleet"}

// data are the parts that differ by their nature, and have readers of their own.
var data = []string{"known"}

// shape tells whether a new configuration has all that the running one has: each key, with a value of the same kind, and
// no list emptied. A file that was cut short or lacks a key would else count as one that leaves it out on purpose, and its
// defaults would come into force.
func shape(old, new any, path string) error {
	if kind(old) != kind(new) {
		if new == nil {
			return fmt.Errorf("%s: missing", path)
		}
		return fmt.Errorf("%s: is %s, was %s", path, kind(new), kind(old))
	}
	switch old := old.(type) {
	case map[string]any:
		new := new.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) { // so that the first fault is the same each time
			at := strings.TrimPrefix(path+"."+key, ".")
			if _, ok := new[key]; !ok && slices.Contains(optional, at) {
				continue
			}
			if slices.Contains(data, at) && new[key] != nil {
				continue
			}
			if err := shape(old[key], new[key], at); err != nil {
				return err
			}
		}
	case []any:
		new := new.([]any)
		if len(new) == 0 && len(old) > 0 {
			return fmt.Errorf("%s: empty", path)
		}
		if len(old) == 0 {
			return nil
		}
		// Each element needs the keys that all of the old have.
		first, ok := old[0].(map[string]any)
		if !ok {
			return sameKinds(old[0], new, path)
		}
		common := map[string]any{}
	next:
		for key, value := range first {
			for _, e := range old {
				m, ok := e.(map[string]any)
				if !ok || kind(m[key]) != kind(value) {
					continue next
				}
			}
			if !slices.Contains(optional, path+"[]."+key) {
				common[key] = value
			}
		}
		for i, e := range new {
			if err := shape(common, e, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func sameKinds(old any, new []any, path string) error {
	for i, e := range new {
		if kind(e) != kind(old) {
			return fmt.Errorf("%s[%d]: is %s, was %s", path, i, kind(e), kind(old))
		}
	}
	return nil
}

func kind(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a text"
	case bool:
		return "true or false"
	}
	return "a number"
}
