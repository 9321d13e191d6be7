package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// FieldLine returns the number of the line that sets the field at path; for an array of tables, that of its first
// element. If no line sets the field, it returns the line of the innermost enclosing table that the document has, or 0
// if there is none.
func FieldLine(raw []byte, path string) int {
	lines := lineIndex(raw)
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		if line, ok := lines[withIndex(path, 0)]; ok {
			return line
		}
		lastSeparator := strings.LastIndexAny(path, ".[")
		if lastSeparator < 0 {
			break
		}
		path = path[:lastSeparator]
	}
	return 0
}

// lineIndex maps the path of each key and each table in the document to the number of its line.
func lineIndex(raw []byte) map[string]int {
	parser := unstable.Parser{}
	parser.Reset(raw)
	lines := map[string]int{}
	lastElements := map[string]int{} // index of the last element so far of each array of tables
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		names, position := keyParts(expression)
		if len(names) == 0 {
			continue
		}
		line := parser.Shape(position).Start.Line
		switch expression.Kind {
		case unstable.Table:
			table = tablePath(names, lastElements)
			lines[table] = line
		case unstable.ArrayTable:
			array := tablePath(names, lastElements)
			if last, ok := lastElements[array]; ok {
				lastElements[array] = last + 1
			} else {
				lastElements[array] = 0
			}
			table = withIndex(array, lastElements[array])
			lines[table] = line
		case unstable.KeyValue:
			lines[joinPath(table, strings.Join(names, "."))] = line
		}
	}
	return lines
}

// keyParts returns the names that make up the dotted key of an expression, and the position of the last name.
func keyParts(expression *unstable.Node) (names []string, position unstable.Range) {
	for parts := expression.Key(); parts.Next(); {
		names = append(names, string(parts.Node().Data))
		position = parts.Node().Raw
	}
	return names, position
}

// tablePath returns the path of the table with the given names. A name before the last that denotes an array of tables
// gets the index of the array's last element so far, since TOML adds the table to that element.
func tablePath(names []string, lastElements map[string]int) string {
	path := ""
	for i, name := range names {
		path = joinPath(path, name)
		if last, ok := lastElements[path]; ok && i < len(names)-1 {
			path = withIndex(path, last)
		}
	}
	return path
}

// withIndex returns the path of an element of an array of tables.
func withIndex(array string, index int) string { return array + "[" + strconv.Itoa(index) + "]" }

// joinPath returns the path of a name in a table; the path of the root table is empty.
func joinPath(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
