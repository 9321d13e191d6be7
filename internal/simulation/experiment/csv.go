package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
)

// WriteCSV writes the rows as a CSV table. It has a column for each field that the cell of the first row sets, and one
// for each metric.
func WriteCSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	names := MetricNames()
	columns := []string{"scenario", "policy", "seed"}
	if len(rows) > 0 {
		for _, v := range rows[0].Set {
			columns = append(columns, v.Field)
		}
	}
	if err := w.Write(append(columns, names...)); err != nil {
		return err
	}
	for _, r := range rows {
		line := []string{r.Result.Scenario, r.Policy, strconv.FormatUint(r.Seed, 10)}
		for _, v := range r.Set {
			line = append(line, fmt.Sprint(v.Value))
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
