package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"tulipglade/internal/tomlfile"
)

//go:embed files/*.toml
var builtIn embed.FS

// BuiltIn returns the names of the scenarios that are built into the program.
func BuiltIn() []string {
	entries, err := fs.ReadDir(builtIn, "files")
	if err != nil {
		panic(err) // can't happen, because the files are embedded
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Source returns the text of the built-in scenario or, if there is none with that name, of the file with that name. It
// also returns the file name to use in errors.
func Source(name string) (file string, raw []byte, err error) {
	if raw, err := builtIn.ReadFile("files/" + name + ".toml"); err == nil {
		return name + ".toml", raw, nil
	}
	raw, err = os.ReadFile(name)
	if err != nil && !strings.ContainsAny(name, "/.") {
		return name, nil, fmt.Errorf("%s: neither a file nor one of the scenarios shipped: %s", name, strings.Join(BuiltIn(), ", "))
	}
	return name, raw, err
}

// Read returns the built-in scenario or, if there is none with that name, the scenario in the file with that name.
func Read(name string) (*Scenario, error) {
	file, raw, err := Source(name)
	if err != nil {
		return nil, err
	}
	return Parse(file, raw)
}

// Parse decodes a scenario, in which omitted fields have their defaults, and checks it. The file name is used in
// errors.
func Parse(file string, raw []byte) (*Scenario, error) {
	s := Default()
	if err := tomlfile.Decode(file, raw, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Text returns the scenario as TOML, including the fields that have their defaults.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }
