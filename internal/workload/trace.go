package workload

import (
	"bufio"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"tulipglade/internal/simulation/eventqueue"
)

// TraceError reports an invalid field of a trace.
type TraceError struct {
	File  string
	Line  int
	Field string
	Err   error
}

// Error returns a message that names the file, line and field.
func (e *TraceError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Field, e.Err)
}

// Unwrap returns the error in the field.
func (e *TraceError) Unwrap() error { return e.Err }

// Trace reads a recorded trace. A trace is a text file, gzipped if its name ends in .gz, with one call a line in the
// order of time: "µs class tenant site key", where class, tenant and site are indexes from 0. Empty lines and lines
// that begin with # are skipped.
type Trace struct {
	name    string
	file    *os.File
	lines   *bufio.Scanner
	line    int
	last    eventqueue.Time
	classes int
	tenants int
	sites   int
}

// traceFields are the names of the fields of a line, in order.
var traceFields = [...]string{"µs", "class", "tenant", "site", "key"}

// OpenTrace opens a trace for a scenario with the given numbers of classes, tenants and sites.
func OpenTrace(name string, classes, tenants, sites int) (*Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	var reader io.Reader = bufio.NewReader(file)
	if strings.HasSuffix(name, ".gz") {
		reader, err = gzip.NewReader(reader)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%s: %w", name, err), file.Close())
		}
	}
	return &Trace{
		name:    name,
		file:    file,
		lines:   bufio.NewScanner(reader),
		classes: classes,
		tenants: tenants,
		sites:   sites,
	}, nil
}

// Close closes the file.
func (t *Trace) Close() error { return t.file.Close() }

// Next returns the next call, or io.EOF after the last one. For an invalid line it returns a *TraceError.
func (t *Trace) Next() (Call, error) {
	for t.lines.Scan() {
		t.line++
		text := t.lines.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		call, err := t.parse(text)
		if err != nil {
			return call, err
		}
		t.last = call.Due
		return call, nil
	}
	if err := t.lines.Err(); err != nil {
		return Call{}, fmt.Errorf("%s: %w", t.name, err)
	}
	return Call{}, errors.Join(io.EOF, t.Close())
}

func (t *Trace) parse(text string) (Call, error) {
	var call Call
	n, err := fmt.Sscan(text, &call.Due, &call.Class, &call.Tenant, &call.Site, &call.Key)
	if err != nil {
		return call, t.invalid(traceFields[min(n, len(traceFields)-1)], err)
	}
	if call.Due < t.last {
		return call, t.invalid("µs", fmt.Errorf("%d is before the previous call or before the start", call.Due))
	}
	for _, index := range []struct {
		field string
		value int
		count int
	}{
		{"class", call.Class, t.classes},
		{"tenant", call.Tenant, t.tenants},
		{"site", call.Site, t.sites},
	} {
		if index.value < 0 || index.value >= index.count {
			return call, t.invalid(index.field, fmt.Errorf("there is no number %d among %d", index.value, index.count))
		}
	}
	return call, nil
}

func (t *Trace) invalid(field string, err error) error {
	return &TraceError{File: t.name, Line: t.line, Field: field, Err: err}
}
