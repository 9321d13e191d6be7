package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/tomlfile"
)

// Sweep is a grid of runs: every combination of the values, for every policy and seed.
type Sweep struct {
	Scenario  string           `toml:"scenario"` // a file beside the sweep's own, or one that is shipped
	Seeds     int              `toml:"seeds"`    // first_seed and those after it
	FirstSeed uint64           `toml:"first_seed"`
	Policies  []string         `toml:"policies"`
	Grid      map[string][]any `toml:"grid"` // by dotted field of the scenario
}

// Check tells what is impossible about it.
func (s *Sweep) Check() error {
	if s.Scenario == "" {
		return tomlfile.Invalidf("scenario", "none is named")
	}
	if s.Seeds < 1 || s.Seeds > 10000 {
		return tomlfile.Invalidf("seeds", "%d is not within 1 and 10000", s.Seeds)
	}
	if len(s.Policies) == 0 {
		s.Policies = []string{policy.Module}
	}
	for _, p := range s.Policies {
		if _, err := policy.Find(p); err != nil {
			return tomlfile.Invalidf("policies", "%v", err)
		}
	}
	for _, path := range s.paths() {
		if len(s.Grid[path]) == 0 {
			return tomlfile.Invalidf("grid."+path, "no values")
		}
	}
	return nil
}

func (s *Sweep) paths() []string {
	var paths []string
	for p := range s.Grid {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	return paths
}

// Cell is one run of a sweep.
type Cell struct {
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Set    []Value `json:"set,omitempty"`

	sc *scenario.Scenario
}

// Value is one field of the scenario that the cell sets.
type Value struct {
	Field string `json:"field"`
	To    any    `json:"to"`
}

func (c Cell) key() string {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // numbers, strings and lists of them: cannot fail
	}
	return string(raw)
}

// Row is one line of a results file.
type Row struct {
	Cell
	Result *emulator.Result `json:"result"`
}

// header is the first line of a results file: what it is of.
type header struct {
	Sweep string `json:"sweep"` // hash of the scenario's and the sweep's text
}

// Cells reads the sweep's scenario, checks every point of the grid, and lists the runs in order.
func (s *Sweep) Cells(dir string) ([]Cell, string, error) {
	name := s.Scenario
	if !slices.Contains(scenario.BuiltIn(), name) && !filepath.IsAbs(name) {
		name = filepath.Join(dir, name)
	}
	file, raw, err := scenario.Source(name)
	if err != nil {
		return nil, "", err
	}
	points := [][]Value{nil}
	for _, path := range s.paths() {
		var next [][]Value
		for _, p := range points {
			for _, v := range s.Grid[path] {
				next = append(next, append(slices.Clone(p), Value{path, v}))
			}
		}
		if points = next; len(points)*s.Seeds*len(s.Policies) > 1e6 {
			return nil, "", tomlfile.Invalidf("grid", "more than a million runs")
		}
	}
	var cells []Cell
	for _, p := range points {
		text := raw
		for _, v := range p {
			if text, err = tomlfile.Set(text, v.Field, v.To); err != nil {
				return nil, "", fmt.Errorf("grid.%w", err)
			}
		}
		sc, err := scenario.Parse(file, text)
		if err != nil {
			return nil, "", fmt.Errorf("with %v: %w", p, err)
		}
		for _, pol := range s.Policies {
			for i := range s.Seeds {
				cells = append(cells, Cell{Policy: pol, Seed: s.FirstSeed + uint64(i), Set: p, sc: sc})
			}
		}
	}
	self, err := json.Marshal(s)
	if err != nil {
		return nil, "", err
	}
	return cells, strconv.FormatUint(xxhash.Sum64(append(raw, self...)), 16), nil
}

// LoadSweep reads a sweep's file.
func LoadSweep(file string) (*Sweep, error) {
	s := &Sweep{Seeds: 1, FirstSeed: 1}
	return s, tomlfile.Load(file, s)
}

// ErrOther is a results file of another sweep.
var ErrOther = errors.New("holds the results of another sweep")

// RunAll plays the cells over all cores and leaves their rows in the file, in the order of the cells. Each finished
// cell is on disk before the next begins on its core; a later call with the same file plays only what is missing.
func RunAll(ctx context.Context, cells []Cell, hash, file string, told func(done, all int)) ([]Row, error) {
	have, err := resume(file, hash)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(file, os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	var mu sync.Mutex
	rows := make([]Row, len(cells))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	done := 0
	for i, c := range cells {
		if r := have[c.key()]; r != nil {
			rows[i] = Row{c, r}
			done++
			continue
		}
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			r, err := Run(c.sc, c.Policy, c.Seed)
			if err != nil {
				return err
			}
			rows[i] = Row{c, r}
			line, err := json.Marshal(rows[i])
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if _, err := out.Write(append(line, '\n')); err != nil {
				return err
			}
			done++
			if told != nil {
				told(done, len(cells))
			}
			return out.Sync()
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return rows, write(file, hash, rows)
}

// resume reads what a file holds already; one that is not there is begun. A last line that was cut short is dropped.
func resume(file, hash string) (map[string]*emulator.Result, error) {
	head, err := json.Marshal(header{hash})
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) || err == nil && !bytes.Contains(raw, []byte("\n")) {
		return nil, os.WriteFile(file, append(head, '\n'), 0o644)
	}
	if err != nil {
		return nil, err
	}
	whole := raw[:bytes.LastIndexByte(raw, '\n')+1]
	rows, err := parse(file, whole, hash)
	if err != nil {
		return nil, err
	}
	if len(whole) < len(raw) {
		if err := os.Truncate(file, int64(len(whole))); err != nil {
			return nil, err
		}
	}
	have := map[string]*emulator.Result{}
	for _, r := range rows {
		have[r.key()] = r.Result
	}
	return have, nil
}

// ReadRows reads a results file.
func ReadRows(file string) ([]Row, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parse(file, raw, "")
}

func parse(file string, raw []byte, hash string) ([]Row, error) {
	in := bufio.NewReader(bytes.NewReader(raw))
	var rows []Row
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return rows, nil
		}
		if n == 1 {
			var h header
			if err := json.Unmarshal(line, &h); err != nil || h.Sweep == "" {
				return nil, fmt.Errorf("%s:1: sweep: this is no file of results", file)
			}
			if hash != "" && h.Sweep != hash {
				return nil, fmt.Errorf("%s: %w: name another file, or remove this one", file, ErrOther)
			}
			continue
		}
		var r Row
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		rows = append(rows, r)
	}
}

// write puts the rows in order, whole or not at all.
func write(file, hash string, rows []Row) error {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	if err := enc.Encode(header{hash}); err != nil {
		return err
	}
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	next := file + ".new"
	if err := os.WriteFile(next, out.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// Metrics are the figures of a result that can be compared, tabled and plotted, by name.
var Metrics = map[string]func(*emulator.Result) float64{
	"score":        func(r *emulator.Result) float64 { return r.Score },
	"worth":        func(r *emulator.Result) float64 { return r.ServedValue },
	"worst_window": func(r *emulator.Result) float64 { return r.WorstWindow },
	"worst_class":  func(r *emulator.Result) float64 { return r.WorstClass },
	"worst_tenant": func(r *emulator.Result) float64 { return r.WorstTenant },
	"last_10s":     func(r *emulator.Result) float64 { return r.ServiceAfterEnd },
	"waste":        func(r *emulator.Result) float64 { return r.Waste },
	"cross_site":   func(r *emulator.Result) float64 { return r.CrossSite },
	"attempts":     func(r *emulator.Result) float64 { return r.AttemptsPerRequest },
	"tries":        func(r *emulator.Result) float64 { return r.RequestsPerCall },
	"p50_ms":       func(r *emulator.Result) float64 { return latency(r, 50) },
	"p99_ms":       func(r *emulator.Result) float64 { return latency(r, 99) },
	"p999_ms":      func(r *emulator.Result) float64 { return latency(r, 99.9) },
	"rules_broken": func(r *emulator.Result) float64 {
		n := 0
		for _, x := range r.Broken {
			n += x
		}
		return float64(n)
	},
}

func latency(r *emulator.Result, q float64) float64 {
	for _, x := range r.Latency {
		if x.Percent == q {
			return x.Milliseconds
		}
	}
	return math.NaN()
}

// MetricNames are the names of Metrics in order.
func MetricNames() []string {
	var names []string
	for n := range Metrics {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// WriteCSV writes the rows as a table with a column for each field that a cell sets and each metric.
func WriteCSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	names := MetricNames()
	head := []string{"scenario", "policy", "seed"}
	if len(rows) > 0 {
		for _, v := range rows[0].Set {
			head = append(head, v.Field)
		}
	}
	if err := w.Write(append(head, names...)); err != nil {
		return err
	}
	for _, r := range rows {
		line := []string{r.Result.Scenario, r.Policy, strconv.FormatUint(r.Seed, 10)}
		for _, v := range r.Set {
			line = append(line, fmt.Sprint(v.To))
		}
		for _, n := range names {
			line = append(line, strconv.FormatFloat(Metrics[n](r.Result), 'g', 6, 64))
		}
		if err := w.Write(line); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
