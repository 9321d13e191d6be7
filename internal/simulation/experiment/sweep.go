package experiment

import (
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/tomlfile"
)

// Sweep is a grid of runs: every combination of the values, for every policy and seed.
type Sweep struct {
	Scenario  string           `toml:"scenario"` // a built-in scenario, or a file relative to the sweep's directory
	Seeds     int              `toml:"seeds"`    // number of consecutive seeds, from first_seed
	FirstSeed uint64           `toml:"first_seed"`
	Policies  []string         `toml:"policies"`
	Grid      map[string][]any `toml:"grid"` // values to try, by the dotted path of a field of the scenario
}

// Check sets the default policy, and returns an error for the first invalid field.
func (s *Sweep) Check() error {
	if s.Scenario == "" {
		return tomlfile.FieldErrorf("scenario", "none is named")
	}
	if s.Seeds < 1 || s.Seeds > 10000 {
		return tomlfile.FieldErrorf("seeds", "%d is not within 1 and 10000", s.Seeds)
	}
	if len(s.Policies) == 0 {
		s.Policies = []string{policy.Module}
	}
	for _, p := range s.Policies {
		if _, err := policy.Find(p); err != nil {
			return tomlfile.FieldErrorf("policies", "%v", err)
		}
	}
	for _, path := range s.paths() {
		if len(s.Grid[path]) == 0 {
			return tomlfile.FieldErrorf("grid."+path, "no values")
		}
	}
	return nil
}

// paths returns the sorted paths of the fields that the grid varies.
func (s *Sweep) paths() []string { return slices.Sorted(maps.Keys(s.Grid)) }

// Cell identifies one run of a sweep: the policy, the seed, and the values of the grid's fields.
type Cell struct {
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Set    []Value `json:"set,omitempty"`

	scenario *scenario.Scenario
}

// Value is a field of the scenario and the value that a cell sets it to.
type Value struct {
	Field string `json:"field"`
	Value any    `json:"to"`
}

// key returns a string that identifies the cell within its sweep.
func (c Cell) key() string {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // values of a TOML file can always be encoded
	}
	return string(raw)
}

// maxRuns bounds the number of cells of a sweep.
const maxRuns = 1e6

// Cells reads the sweep's scenario and parses it with the values of each point of the grid, so that an invalid value is
// found before any run. It returns the runs in order, and a hash over the sweep and its scenario. A relative path of a
// scenario is resolved against dir.
func (s *Sweep) Cells(dir string) ([]Cell, string, error) {
	name := s.Scenario
	if !slices.Contains(scenario.BuiltIn(), name) && !filepath.IsAbs(name) {
		name = filepath.Join(dir, name)
	}
	file, raw, err := scenario.Source(name)
	if err != nil {
		return nil, "", err
	}
	points, err := s.points()
	if err != nil {
		return nil, "", err
	}
	var cells []Cell
	for _, point := range points {
		sc, err := scenarioAt(file, raw, point)
		if err != nil {
			return nil, "", err
		}
		for _, policyName := range s.Policies {
			for i := range s.Seeds {
				cells = append(cells, Cell{Policy: policyName, Seed: s.FirstSeed + uint64(i), Set: point, scenario: sc})
			}
		}
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, "", err
	}
	return cells, strconv.FormatUint(xxhash.Sum64(append(raw, encoded...)), 16), nil
}

// points returns all combinations of the values of the grid's fields.
func (s *Sweep) points() ([][]Value, error) {
	points := [][]Value{nil}
	for _, path := range s.paths() {
		var next [][]Value
		for _, point := range points {
			for _, value := range s.Grid[path] {
				next = append(next, append(slices.Clone(point), Value{path, value}))
			}
		}
		points = next
		if len(points)*s.Seeds*len(s.Policies) > maxRuns {
			return nil, tomlfile.FieldErrorf("grid", "the sweep has more than a million runs")
		}
	}
	return points, nil
}

// scenarioAt parses the text of a scenario after setting its fields to the values of one point of the grid.
func scenarioAt(file string, text []byte, point []Value) (*scenario.Scenario, error) {
	for _, value := range point {
		var err error
		if text, err = tomlfile.Set(text, value.Field, value.Value); err != nil {
			return nil, fmt.Errorf("grid.%w", err)
		}
	}
	sc, err := scenario.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("with %v: %w", point, err)
	}
	return sc, nil
}

// LoadSweep reads and checks the TOML file of a sweep. Seeds and FirstSeed default to 1.
func LoadSweep(file string) (*Sweep, error) {
	s := &Sweep{Seeds: 1, FirstSeed: 1}
	return s, tomlfile.Load(file, s)
}
