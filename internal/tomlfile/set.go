package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Set returns raw with the field at the dotted path set to value; missing tables are added. An element of
// an array of tables is named by its index, as in "class[1].work_ms".
func Set(raw []byte, path string, value any) ([]byte, error) {
	document := map[string]any{}
	if err := toml.Unmarshal(raw, &document); err != nil {
		return nil, err
	}
	a := assignment{path: path, steps: strings.Split(path, "."), value: value}
	if err := a.apply(document, 0); err != nil {
		return nil, err
	}
	return toml.Marshal(document)
}

// assignment sets one field of a document.
type assignment struct {
	path  string
	steps []string // of the path
	value any
}

// apply makes the assignment below container, which the steps before depth have led to.
func (a assignment) apply(container any, depth int) error {
	step, err := a.parseStep(depth)
	if err != nil {
		return err
	}
	table, ok := container.(map[string]any)
	if !ok {
		return FieldErrorf(a.path, "%q is not a table", strings.Join(a.steps[:depth], "."))
	}
	last := depth == len(a.steps)-1
	if step.indexed {
		return a.applyToElement(table, step, depth, last)
	}
	if last {
		table[step.name] = a.value
		return nil
	}
	if table[step.name] == nil {
		table[step.name] = map[string]any{}
	}
	return a.apply(table[step.name], depth+1)
}

func (a assignment) applyToElement(table map[string]any, step pathStep, depth int, last bool) error {
	list, _ := table[step.name].([]any)
	if step.index >= len(list) {
		return FieldErrorf(a.path, "there are only %d of %q", len(list), step.name)
	}
	if last {
		list[step.index] = a.value
		return nil
	}
	return a.apply(list[step.index], depth+1)
}

// pathStep is one part of a dotted path.
type pathStep struct {
	name    string
	indexed bool // the element with the index, not the whole value
	index   int
}

func (a assignment) parseStep(depth int) (pathStep, error) {
	step := a.steps[depth]
	open := strings.IndexByte(step, '[')
	if open <= 0 || !strings.HasSuffix(step, "]") {
		return pathStep{name: step}, nil
	}
	index, err := strconv.Atoi(step[open+1 : len(step)-1])
	if err != nil || index < 0 {
		return pathStep{}, FieldErrorf(a.path, "%q is no index", step[open:])
	}
	return pathStep{name: step[:open], indexed: true, index: index}, nil
}
