package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const millisPerSecond = 1000

// IntervalLog writes one latency histogram for each second in HdrHistogram's log format (version 1.3). The histogram of
// a second contains the served calls, late ones included, that were due in that second.
type IntervalLog struct {
	writer    *hdrhistogram.HistogramLogWriter
	startedAt time.Time
}

// NewIntervalLog returns a log that writes to w.
func NewIntervalLog(w io.Writer) *IntervalLog {
	return &IntervalLog{writer: hdrhistogram.NewHistogramLogWriter(w)}
}

// begin writes the header of the log.
func (l *IntervalLog) begin(start time.Time) error {
	l.startedAt = start
	if err := l.writer.OutputLogFormatVersion(); err != nil {
		return fmt.Errorf("histogram log: %w", err)
	}
	if err := l.writer.OutputStartTime(start.UnixMilli()); err != nil {
		return fmt.Errorf("histogram log: %w", err)
	}
	return l.writer.OutputLegend()
}

func (l *IntervalLog) write(i *interval) error {
	start := l.startedAt.UnixMilli() + i.start*millisPerSecond
	i.latency.SetStartTimeMs(start)
	i.latency.SetEndTimeMs(start + millisPerSecond)
	if err := l.writer.OutputIntervalHistogram(i.latency); err != nil {
		return fmt.Errorf("histogram log: %w", err)
	}
	return nil
}
