package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record of a case, one line for each event, with the time in
// milliseconds since the start of the run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add appends a line to the record.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := float64(time.Since(r.started).Microseconds()) / 1000
	_, _ = fmt.Fprintf(r.writer, "%10.1f  %s\n", at, fmt.Sprintf(format, args...))
}

// say appends a line to the record and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
