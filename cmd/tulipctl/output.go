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

// printJSON writes v to w as indented JSON.
func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// newTable returns a writer that aligns tab-separated columns. Its Flush method prints the table to standard output
// and returns any write error.
func newTable(cmd *cli.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
}

// The functions writef, writeln and write ignore errors: the write errors of a table are returned by its Flush method,
// and if writing to standard output or standard error fails, there is nowhere left to report the error.

func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func writeln(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }

func write(w io.Writer, args ...any) { _, _ = fmt.Fprint(w, args...) }

// newProgressBar returns a function that draws a progress bar on the terminal w, given the numbers of completed and of
// all steps. It returns nil if w is not a terminal.
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

// counter is a named count that is printed as one row of a table.
type counter struct {
	name  string
	count int
}

// printCounters prints each counter as a row of the table t.
func printCounters(t io.Writer, counters []counter) {
	for _, c := range counters {
		writef(t, "%s\t%d\n", c.name, c.count)
	}
}

// printQuantiles prints the median, p99, maximum and number of values of a histogram as a row of the table t. The
// values of the histogram are in milliseconds. It prints nothing if the histogram is empty.
func printQuantiles(t io.Writer, name string, histogram *hdrhistogram.Histogram) {
	if histogram.TotalCount() == 0 {
		return
	}
	writef(t, "%s, ms\tp50 %d, p99 %d, max %d, of %d\n",
		name, histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.Max(), histogram.TotalCount())
}
