// Package tomlfile reads TOML files strictly: an unknown key, a value of the wrong type or a value that its owner
// calls impossible is one error that names file, line, field and reason.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Invalid is what a value's owner says of a field. Path is the field's dotted path, with the index of an array of
// tables as in "fault[2].at_ms".
type Invalid struct {
	Path, Reason string
}

func (e *Invalid) Error() string { return e.Path + ": " + e.Reason }

// Invalidf returns an *Invalid.
func Invalidf(path, format string, args ...any) error {
	return &Invalid{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// Checker is a value that can tell whether what it holds is possible; it returns an *Invalid.
type Checker interface{ Check() error }

// Load reads the file into v and checks it.
func Load(file string, v any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return Decode(file, raw, v)
}

// Decode reads raw, which came from the file so named, into v and checks v if it is a Checker.
func Decode(file string, raw []byte, v any) error {
	dec := toml.NewDecoder(strings.NewReader(string(raw)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			row, _ := strict.Errors[0].Position()
			return fmt.Errorf("%s:%d: %s: there is no such field", file, row, strings.Join(strict.Errors[0].Key(), "."))
		}
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			row, _ := syntax.Position()
			key := strings.Join(syntax.Key(), ".")
			if key != "" {
				key += ": "
			}
			return fmt.Errorf("%s:%d: %s%s", file, row, key, strings.TrimPrefix(syntax.Error(), "toml: "))
		}
		return fmt.Errorf("%s: %w", file, err)
	}
	c, ok := v.(Checker)
	if !ok {
		return nil
	}
	err := c.Check()
	var invalid *Invalid
	if errors.As(err, &invalid) {
		if line := Line(raw, invalid.Path); line > 0 {
			return fmt.Errorf("%s:%d: %w", file, line, invalid)
		}
		return fmt.Errorf("%s: %w", file, invalid)
	}
	return err
}

// Line is the line on which the field of that path is set, or the nearest table round it; 0 if neither is there.
func Line(raw []byte, path string) int {
	lines := index(raw)
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		if line, ok := lines[path+"[0]"]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 0
}

// index maps the path of each key and table to its line.
func index(raw []byte) map[string]int {
	p := unstable.Parser{}
	p.Reset(raw)
	lines, arrays, table := map[string]int{}, map[string]int{}, ""
	for p.NextExpression() {
		e := p.Expression()
		var names []string
		var at unstable.Range
		for it := e.Key(); it.Next(); {
			names = append(names, string(it.Node().Data))
			at = it.Node().Raw
		}
		if len(names) == 0 {
			continue
		}
		line := p.Shape(at).Start.Line
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = ""
			for i, name := range names {
				table = join(table, name)
				last := i == len(names)-1
				if n, ok := arrays[table]; ok && !last {
					table += "[" + strconv.Itoa(n) + "]"
				}
			}
			if e.Kind == unstable.ArrayTable {
				if n, ok := arrays[table]; ok {
					arrays[table] = n + 1
				} else {
					arrays[table] = 0
				}
				table += "[" + strconv.Itoa(arrays[table]) + "]"
			}
			lines[table] = line
		case unstable.KeyValue:
			lines[join(table, strings.Join(names, "."))] = line
		}
	}
	return lines
}

func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

// Set returns raw with the field at the dotted path set to value; tables that are missing are made. An element of
// an array of tables is named by its index, as in "class[1].work_ms".
func Set(raw []byte, path string, value any) ([]byte, error) {
	doc := map[string]any{}
	if err := toml.Unmarshal(raw, &doc); err != nil {
		return nil, err
	}
	var at any = doc
	parts := strings.Split(path, ".")
	for i, part := range parts {
		name, pos, indexed := part, 0, false
		if open := strings.IndexByte(part, '['); open > 0 && strings.HasSuffix(part, "]") {
			n, err := strconv.Atoi(part[open+1 : len(part)-1])
			if err != nil || n < 0 {
				return nil, Invalidf(path, "%q is no index", part[open:])
			}
			name, pos, indexed = part[:open], n, true
		}
		table, ok := at.(map[string]any)
		if !ok {
			return nil, Invalidf(path, "%q is not a table", strings.Join(parts[:i], "."))
		}
		if !indexed {
			if i == len(parts)-1 {
				table[name] = value
				return toml.Marshal(doc)
			}
			if table[name] == nil {
				table[name] = map[string]any{}
			}
			at = table[name]
			continue
		}
		list, _ := table[name].([]any)
		if pos >= len(list) {
			return nil, Invalidf(path, "there are only %d of %q", len(list), name)
		}
		if i == len(parts)-1 {
			list[pos] = value
			return toml.Marshal(doc)
		}
		at = list[pos]
	}
	return nil, Invalidf(path, "names nothing")
}
