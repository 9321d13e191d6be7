package load

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestIntervalLogHasHistogramLogForm(t *testing.T) {
	var out bytes.Buffer
	log := NewIntervalLog(&out)
	if err := log.begin(time.Unix(1000, 0)); err != nil {
		t.Fatal(err)
	}
	for i := range int64(3) {
		second := &interval{start: i, latency: newHistogram()}
		recordLatency(second.latency, 1000*(i+1))
		if err := log.write(second); err != nil {
			t.Fatal(err)
		}
	}
	text := out.String()
	if !strings.HasPrefix(text, "#[Histogram log format version 1.3]") || strings.Count(text, "HISTF") != 3 {
		t.Errorf("%s", text)
	}
	if !strings.Contains(text, "\n1002.000000,1.000000,0.003") {
		t.Errorf("no interval for the third second:\n%s", text)
	}
}
