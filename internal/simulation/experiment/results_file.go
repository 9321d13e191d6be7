package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"tulipglade/internal/simulation/emulator"
)

// Row is one line of a results file after the header: a run of a sweep and its result.
type Row struct {
	Cell
	Result *emulator.Result `json:"result"`
}

// header is the first line of a results file.
type header struct {
	Sweep string `json:"sweep"` // hash over the sweep and its scenario
}

// ErrOtherSweep means that a results file was written by another sweep, or by a sweep or scenario that has changed
// since.
var ErrOtherSweep = errors.New("holds the results of another sweep")

// RunAll runs the cells on all cores and writes their rows to the file, at the end in the order of the cells. Each row
// is synced to disk before its worker starts another cell, so that a later call with the same file runs only the
// missing cells. The function progress, if set, is called after each cell that was run.
func RunAll(ctx context.Context, cells []Cell, hash, file string, progress func(done, all int)) ([]Row, error) {
	finished, err := readFinished(file, hash)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(file, os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }() // no data is lost if this fails: each row is synced when it is written
	var mu sync.Mutex
	rows := make([]Row, len(cells))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	done := 0
	for i, cell := range cells {
		if result := finished[cell.key()]; result != nil {
			rows[i] = Row{cell, result}
			done++
			continue
		}
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := Run(cell.scenario, cell.Policy, cell.Seed)
			if err != nil {
				return err
			}
			rows[i] = Row{cell, result}
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
			if progress != nil {
				progress(done, len(cells))
			}
			return out.Sync()
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return rows, writeRows(file, hash, rows)
}

// readFinished returns the results in a file by the keys of their cells. If the file does not exist or has no complete
// line, it is created anew with a header. An incomplete last line, left by an interrupted sweep, is removed from the
// file.
func readFinished(file, hash string) (map[string]*emulator.Result, error) {
	headerLine, err := json.Marshal(header{hash})
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) || err == nil && !bytes.Contains(raw, []byte("\n")) {
		return nil, os.WriteFile(file, append(headerLine, '\n'), 0o644)
	}
	if err != nil {
		return nil, err
	}
	complete := raw[:bytes.LastIndexByte(raw, '\n')+1]
	rows, err := parseRows(file, complete, hash)
	if err != nil {
		return nil, err
	}
	if len(complete) < len(raw) {
		if err := os.Truncate(file, int64(len(complete))); err != nil {
			return nil, err
		}
	}
	finished := map[string]*emulator.Result{}
	for _, row := range rows {
		finished[row.key()] = row.Result
	}
	return finished, nil
}

// ReadRows returns the rows of a results file, whichever sweep it belongs to.
func ReadRows(file string) ([]Row, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseRows(file, raw, "")
}

// parseRows parses the content of a results file. If hash is not empty, the file must belong to the sweep with that
// hash.
func parseRows(file string, raw []byte, hash string) ([]Row, error) {
	in := bufio.NewReader(bytes.NewReader(raw))
	var rows []Row
	for lineNumber := 1; ; lineNumber++ {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return rows, nil
		}
		if lineNumber == 1 {
			var first header
			if err := json.Unmarshal(line, &first); err != nil || first.Sweep == "" {
				return nil, fmt.Errorf("%s:1: sweep: this is not a results file", file)
			}
			if hash != "" && first.Sweep != hash {
				return nil, fmt.Errorf("%s: %w: specify another file, or remove this one", file, ErrOtherSweep)
			}
			continue
		}
		var row Row
		if err := json.Unmarshal(line, &row); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, lineNumber, err)
		}
		rows = append(rows, row)
	}
}

// writeRows atomically replaces the file by one that holds the rows in the given order.
func writeRows(file, hash string, rows []Row) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	if err := encoder.Encode(header{hash}); err != nil {
		return err
	}
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return err
		}
	}
	temporary := file + ".new"
	if err := os.WriteFile(temporary, out.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}
