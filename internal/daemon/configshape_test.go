package daemon

import (
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"
)

// compareWithRunning parses text as a new configuration and checks its shape against validConfig as the running one.
func compareWithRunning(t *testing.T, text string) error {
	t.Helper()
	running := parseConfig(t, validConfig)
	loaded, err := Parse([]byte(text), noEnvironment)
	if err != nil {
		return err
	}
	return checkShape(running.document, loaded.document, "")
}

// forEachMissingKey removes each key below value in turn and calls visit, then sets the key to null and calls visit
// again. It restores the key afterwards.
func forEachMissingKey(value any, path string, visit func(path string)) {
	switch value := value.(type) {
	case map[string]any:
		for key, field := range value {
			delete(value, key)
			visit(path + "." + key)
			value[key] = nil
			visit(path + "." + key + " null")
			value[key] = field
			if path+"."+key != ".known" {
				forEachMissingKey(field, path+"."+key, visit)
			}
		}
	case []any:
		for _, element := range value {
			forEachMissingKey(element, path+"[]", visit)
		}
	}
}

// Guards against a reload that applies a truncated file: whichever byte it ends at, the file is rejected.
func TestNewConfigurationCutShortIsRejected(t *testing.T) {
	for i := range validConfig {
		if err := compareWithRunning(t, validConfig[:i]); err == nil {
			t.Fatalf("cut after %d bytes: accepted", i)
		}
	}
}

// Guards against a reload that applies defaults for lost keys: a file that lacks any key of the running configuration,
// or has null in its place, is rejected.
func TestNewConfigurationNeedsEveryKeyOfRunningOne(t *testing.T) {
	var document any
	if err := jsoniter.UnmarshalFromString(validConfig, &document); err != nil {
		t.Fatal(err)
	}
	keys := 0
	forEachMissingKey(document, "", func(path string) {
		keys++
		text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalToString(document)
		if err != nil {
			t.Fatal(err)
		}
		if err := compareWithRunning(t, text); err == nil {
			t.Errorf("without %s: accepted", path)
		}
	})
	if keys < 40 {
		t.Errorf("only %d keys were tried", keys)
	}
}

// Added keys, added list elements and another endpoint list are accepted. A value of another JSON kind, a list that has
// become empty and a new element without a common key are rejected.
func TestNewConfigurationNeedsShapeOfRunningOne(t *testing.T) {
	for _, c := range []struct{ name, from, to, message string }{
		{"the same", "", "", ""},
		{"one more class", `"profiles":[`, `"profiles":[{"name":"new","aim_us":1,"deadline_us":2,"effect":"once"},`, ""},
		{"one more key", `"tick_us"`, `"other":1,"tick_us"`, ""},
		{"another endpoint list", `{"uid":"a","endpoint":"127.0.0.1:1","az":"z","state":"in_service","capacity_hint":1}`, ``, ""},
		{"no tenants", `[{"name":"t","share":1}]`, `[]`, "settings.orgs: empty"},
		{"no classes", `[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}]`, `[]`, "settings.profiles"},
		{"a class without a key", `"profiles":[`, `"profiles":[{"aim_us":1,"deadline_us":2,"effect":"once"},`, "settings.profiles[0].name"},
		{"another kind", `"zones":["z"]`, `"zones":[1]`, "settings"},
		{"an object for a number", `"tick_us":5000`, `"tick_us":{}`, "settings"},
	} {
		err := compareWithRunning(t, strings.Replace(validConfig, c.from, c.to, 1))
		if c.message == "" && err != nil || c.message != "" && (err == nil || !strings.Contains(err.Error(), c.message)) {
			t.Errorf("%s: %v, want %q", c.name, err, c.message)
		}
	}
}
