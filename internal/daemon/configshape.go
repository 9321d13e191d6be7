package daemon

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tulipglade/internal/settings"
)

// optionalKeys are the keys that the description of the settings lets a file omit. A new configuration must have every
// other key of the running one.
var optionalKeys = []string{
	"settings.profiles[].aim_stretch",
	"settings.specifics.passes_deadline",
	"settings.specifics.warm_keys",
	"settings.prices.fleet",
}

// dataKeys are the keys whose values are data rather than settings. Their shape may differ from the running
// configuration; parsers of their own check them.
var dataKeys = []string{"known"}

// kindChangedError reports that the JSON kind of a field differs between the running and the new configuration.
func kindChangedError(field string, previous, current any) error {
	return settings.FieldErrorf(field, "is %s, but %s in the running configuration", jsonKind(current), jsonKind(previous))
}

// checkShape checks that a new configuration has each key of the running one, with a value of the same JSON kind, and
// that no list has become empty. Otherwise a file that was truncated or lacks a key would be read as one that omits the
// key on purpose, and the default of that key would be applied. path is the path of the two values in the file, for
// errors.
func checkShape(running, loaded any, path string) error {
	if jsonKind(running) != jsonKind(loaded) {
		if loaded == nil {
			return settings.FieldErrorf(path, "missing")
		}
		return kindChangedError(path, running, loaded)
	}
	switch running := running.(type) {
	case map[string]any:
		return checkObject(running, loaded.(map[string]any), path)
	case []any:
		return checkArray(running, loaded.([]any), path)
	}
	return nil
}

func checkObject(running, loaded map[string]any, path string) error {
	for _, key := range slices.Sorted(maps.Keys(running)) { // sorted, so that the same problem is always reported first
		field := strings.TrimPrefix(path+"."+key, ".")
		value, present := loaded[key]
		if !present && slices.Contains(optionalKeys, field) {
			continue
		}
		if value != nil && slices.Contains(dataKeys, field) {
			continue
		}
		if err := checkShape(running[key], value, field); err != nil {
			return err
		}
	}
	return nil
}

// checkArray checks that a list has not become empty, and that each of its new elements has the keys that all running
// elements share. Elements that are not objects must have the JSON kind of the first running one.
func checkArray(running, loaded []any, path string) error {
	if len(running) == 0 {
		return nil
	}
	if len(loaded) == 0 {
		return settings.FieldErrorf(path, "empty")
	}
	if _, ok := running[0].(map[string]any); !ok {
		return checkElementKinds(running[0], loaded, path)
	}
	common := commonKeys(running, path)
	for i, element := range loaded {
		if err := checkShape(common, element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns the keys that all elements have with a value of the same JSON kind, each with the value of the
// first element as an example. Optional keys are left out.
func commonKeys(elements []any, path string) map[string]any {
	common := map[string]any{}
	for key, value := range elements[0].(map[string]any) {
		if slices.Contains(optionalKeys, path+"[]."+key) {
			continue
		}
		differs := func(element any) bool {
			object, ok := element.(map[string]any)
			return !ok || jsonKind(object[key]) != jsonKind(value)
		}
		if !slices.ContainsFunc(elements, differs) {
			common[key] = value
		}
	}
	return common
}

func checkElementKinds(example any, elements []any, path string) error {
	for i, element := range elements {
		if jsonKind(element) != jsonKind(example) {
			return kindChangedError(fmt.Sprintf("%s[%d]", path, i), example, element)
		}
	}
	return nil
}

// jsonKind returns the name of the kind of a JSON value, for comparison and for error messages.
func jsonKind(value any) string {
	switch value.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	}
	return "a number"
}
