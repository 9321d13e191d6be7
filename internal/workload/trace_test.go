package workload

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeTrace writes a trace to a file, gzipped if its name ends in .gz, and returns its path.
func writeTrace(t *testing.T, name, text string) string {
	t.Helper()
	content := []byte(text)
	if strings.HasSuffix(name, ".gz") {
		content = compress(t, content)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func compress(t *testing.T, content []byte) []byte {
	t.Helper()
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return compressed.Bytes()
}

func TestTraceIsReadAtItsSpeed(t *testing.T) {
	const text = "# µs class tenant site key\n0 0 0 0 7\n\n1500 1 2 1 0\n1500 2 1 2 9\n9000000 0 0 0 1\n"
	for _, name := range []string{"t.txt", "t.txt.gz"} {
		sc := parse(t, "seconds = 5.0\n[load]\nshape = 'trace'\ntrace = '"+writeTrace(t, name, text)+"'")
		calls := allCalls(t, sc)
		if len(calls) != 3 || calls[1].Due != 1500 || calls[2].Key != 9 || calls[1].Class != 1 || calls[1].Tenant != 2 ||
			calls[2].Site != 2 || calls[0].Work <= 0 {
			t.Errorf("%s: %+v", name, calls)
		}
	}
	fast := allCalls(t, parse(t, "seconds = 5.0\n[load]\nshape = 'trace'\ntrace_speed = 3.0\ntrace = '"+writeTrace(t, "t", text)+"'"))
	if len(fast) != 4 || fast[1].Due != 500 || fast[3].Due != 3000000 {
		t.Errorf("replayed at three times its speed: %+v", fast)
	}
}

func TestInvalidTraceNamesFileLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"0 0 0 0":              ":1: key: ",
		"0 0 x 0 1":            ":1: tenant: ",
		"0 0 0 0 1\n1 3 0 0 1": ":2: class: there is no number 3 among 3",
		"0 0 0 9 1":            ":1: site: there is no number 9",
		"5 0 0 0 1\n4 0 0 0 1": ":2: µs: 4 is before",
		"-5 0 0 0 1":           ":1: µs: -5 is before",
	} {
		path := writeTrace(t, "invalid", text)
		schedule, err := NewSchedule(parse(t, "[load]\nshape = 'trace'\ntrace = '"+path+"'"), 1, 40, nil)
		for err == nil {
			_, err = schedule.Next()
		}
		if !strings.HasPrefix(err.Error(), path+want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := NewSchedule(parse(t, "[load]\nshape = 'trace'\ntrace = 'nowhere'"), 1, 40, nil); err == nil ||
		!strings.HasPrefix(err.Error(), "load.trace: ") {
		t.Errorf("a file that does not exist: %v", err)
	}
}
