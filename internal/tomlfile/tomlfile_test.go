package tomlfile

import (
	"strings"
	"testing"
)

// document is a Checker.
type document struct {
	Name string `toml:"name"`
	Load struct {
		Level float64 `toml:"level"`
	} `toml:"load"`
	Faults []struct {
		At int `toml:"at_ms"`
	} `toml:"fault"`
}

func (d *document) Check() error {
	if d.Load.Level < 0 {
		return FieldErrorf("load.level", "%g is below 0", d.Load.Level)
	}
	for i, f := range d.Faults {
		if f.At < 0 {
			return FieldErrorf("fault["+string(rune('0'+i))+"].at_ms", "%d is below 0", f.At)
		}
	}
	return nil
}

func TestDecodeErrorsNameFileLineAndField(t *testing.T) {
	for name, c := range map[string]struct{ text, message string }{
		"unknown key":        {"name = 'x'\n[load]\nlevell = 1\n", "f.toml:3: load.levell: there is no such field"},
		"unknown table":      {"name = 'x'\n[laod]\nlevel = 1\n", "f.toml:2: laod"},
		"wrong type":         {"name = 7\n", "f.toml:1: "},
		"not toml":           {"name = 'x'\n= 3\n", "f.toml:2: "},
		"rejected":           {"name = 'x'\n\n[load]\nlevel = -1.0\n", "f.toml:4: load.level: -1 is below 0"},
		"rejected, in array": {"[[fault]]\nat_ms = 1\n[[fault]]\n\nat_ms = -2\n", "f.toml:5: fault[1].at_ms: -2 is below 0"},
		"rejected, dotted":   {"name = 'x'\nload.level = -2.0\n", "f.toml:2: load.level: -2 is below 0"},
		"accepted":           {"[load]\nlevel = 1.0\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			err := Decode("f.toml", []byte(c.text), &document{})
			if c.message == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.HasPrefix(err.Error(), c.message) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line that starts with %q", err, c.message)
			}
		})
	}
}

func TestSet(t *testing.T) {
	text := []byte("name = 'x'\n[[fault]]\nat_ms = 1\n[[fault]]\nat_ms = 2\n")
	for path, valid := range map[string]bool{
		"load.level":     true,
		"fault[1].at_ms": true,
		"fault[2].at_ms": false,
		"fault[x].at_ms": false,
		"name.more":      false,
	} {
		out, err := Set(text, path, int64(7))
		if (err == nil) != valid {
			t.Errorf("%s: %v", path, err)
		} else if err == nil {
			var d document
			if err := Decode("f", out, &d); err != nil {
				t.Errorf("%s: %v", path, err)
			}
			if d.Load.Level != 7 && d.Faults[1].At != 7 || d.Faults[0].At != 1 {
				t.Errorf("%s: %+v", path, d)
			}
		}
	}
}
