package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Set returns the document raw with the field at the dotted path set to value. Missing tables are added. An element of
// an array of tables is named by its index, as in "class[1].work_ms", and must exist.
func Set(raw []byte, path string, value any) ([]byte, error) {
	document := map[string]any{}
	if err := toml.Unmarshal(raw, &document); err != nil {
		return nil, err
	}
	assign := assignment{path: path, steps: strings.Split(path, "."), value: value}
	if err := assign.applyAt(document, 0); err != nil {
		return nil, err
	}
	return toml.Marshal(document)
}

// assignment is the assignment of a value to one field of a document.
type assignment struct {
	path  string
	steps []string // parts of path between the dots
	value any
}

// applyAt makes the assignment in or below container, to which the first depth steps of the path lead. It returns an
// error if container is not a table.
func (a assignment) applyAt(container any, depth int) error {
	step, err := a.parseStep(depth)
	if err != nil {
		return err
	}
	table, ok := container.(map[string]any)
	if !ok {
		return FieldErrorf(a.path, "%q is not a table", strings.Join(a.steps[:depth], "."))
	}
	last := depth == len(a.steps)-1
	if step.hasIndex {
		return a.applyToElement(table, step, depth, last)
	}
	if last {
		table[step.name] = a.value
		return nil
	}
	if table[step.name] == nil {
		table[step.name] = map[string]any{}
	}
	return a.applyAt(table[step.name], depth+1)
}

// applyToElement makes the assignment in or below an element of an array in table, which step names by its index.
func (a assignment) applyToElement(table map[string]any, step pathStep, depth int, last bool) error {
	list, _ := table[step.name].([]any)
	if step.index >= len(list) {
		return FieldErrorf(a.path, "there are only %d of %q", len(list), step.name)
	}
	if last {
		list[step.index] = a.value
		return nil
	}
	return a.applyAt(list[step.index], depth+1)
}

// pathStep is one step of a path: a name, and the index of an element if the path gives one.
type pathStep struct {
	name     string
	hasIndex bool // the step is the element at index, not the value with the name
	index    int
}

// parseStep parses the step of the path at the given depth.
func (a assignment) parseStep(depth int) (pathStep, error) {
	step := a.steps[depth]
	bracket := strings.IndexByte(step, '[')
	if bracket <= 0 || !strings.HasSuffix(step, "]") {
		return pathStep{name: step}, nil
	}
	index, err := strconv.Atoi(step[bracket+1 : len(step)-1])
	if err != nil || index < 0 {
		return pathStep{}, FieldErrorf(a.path, "%q is not a valid index", step[bracket:])
	}
	return pathStep{name: step[:bracket], hasIndex: true, index: index}, nil
}
