package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// FieldLine is the line on which the field of that path is set, or the nearest table around it; 0 if neither is there.
func FieldLine(raw []byte, path string) int {
	lines := lineIndex(raw)
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		if line, ok := lines[withIndex(path, 0)]; ok {
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

// lineIndex maps the path of each key and table to its line.
func lineIndex(raw []byte) map[string]int {
	parser := unstable.Parser{}
	parser.Reset(raw)
	lines := map[string]int{}
	lastElements := map[string]int{} // index of the last element of each array of tables
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		names, position := keyOf(expression)
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

// keyOf returns the parts of an expression's key, and the position of the last.
func keyOf(expression *unstable.Node) (names []string, position unstable.Range) {
	for parts := expression.Key(); parts.Next(); {
		names = append(names, string(parts.Node().Data))
		position = parts.Node().Raw
	}
	return names, position
}

// tablePath returns the path of a table, within the last elements of the arrays of tables on the way to it.
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

func withIndex(array string, index int) string { return array + "[" + strconv.Itoa(index) + "]" }

func joinPath(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
