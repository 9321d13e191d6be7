package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"
)

var jsonFlag = &cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// newTable returns a writer that aligns columns separated by tabs. Flush prints it and returns any error.
func newTable(cmd *cli.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
}

// The functions below drop errors: those of a table are returned by its Flush, and if standard output or standard error
// can't be written to, there is nowhere left to report it.

func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func writeln(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }

func write(w io.Writer, args ...any) { _, _ = fmt.Fprint(w, args...) }

// newProgressBar returns a function that shows how far a long command is, by a bar on a terminal; nil if w is no terminal.
func newProgressBar(w io.Writer, description string) func(done, all int) {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(done, all int) {
		if bar == nil {
			bar = progressbar.NewOptions(all,
				progressbar.OptionSetWriter(w),
				progressbar.OptionSetDescription(description),
				progressbar.OptionShowCount(),
				progressbar.OptionClearOnFinish(),
			)
		}
		_ = bar.Set(done) // a bar that can't be drawn must not stop the command
	}
}

// counter is one line of a table of counts.
type counter struct {
	name  string
	count int
}

func printCounters(t io.Writer, counters []counter) {
	for _, c := range counters {
		writef(t, "%s\t%d\n", c.name, c.count)
	}
}

// printQuantiles prints a line of a table for a histogram in ms, unless it is empty.
func printQuantiles(t io.Writer, name string, histogram *hdrhistogram.Histogram) {
	if histogram.TotalCount() == 0 {
		return
	}
	writef(t, "%s, ms\tp50 %d, p99 %d, max %d, of %d\n",
		name, histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.Max(), histogram.TotalCount())
}
