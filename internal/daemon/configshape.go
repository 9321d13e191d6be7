package daemon

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tulipglade/internal/settings"
)

// optionalKeys may be present or absent, as the description of the settings says. All others that the running
// configuration has must be in a new one.
var optionalKeys = []string{
	"settings.profiles[].aim_stretch",
	"settings.specifics.passes_deadline",
	"settings.specifics.warm_keys",
	"settings.prices.fleet",
}

// dataKeys are the parts that hold data and not settings. They may differ in shape, and are checked by parsers of their own.
var dataKeys = []string{"known"}

func kindChangedError(field string, previous, current any) error {
	return settings.FieldErrorf(field, "is %s, was %s", jsonKind(current), jsonKind(previous))
}

// checkShape checks that a new configuration has all that the running one has: each key, with a value of the same kind,
// and no list emptied. A file that was cut short or lacks a key would otherwise count as one that omits it on purpose,
// and its defaults would come into force.
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
	for _, key := range slices.Sorted(maps.Keys(running)) { // sorted: the first problem is the same each time
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

// checkArray checks that each new element has the keys that all running ones have.
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

// commonKeys returns the keys, with an example of their values, that all elements have with the same kind of value, but
// for the optional ones.
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

// jsonKind names the kind of a JSON value, for error texts.
func jsonKind(value any) string {
	switch value.(type) {
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
