package fake

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestTraceReadsEventLog(t *testing.T) {
	config := parseSmallScenario(t)
	log := `{"us":100,"what":"listed","node":0,"place":1}
{"us":500,"what":"arrived","id":"a","node":1,"place":0,"class":"start","tenant":"middle","key":9}
{"us":700,"what":"arrived","id":"b","node":0,"place":0,"class":"read","tenant":"large"}
{"us":900,"what":"arrived","id":"a","node":1,"place":2,"class":"start","tenant":"middle","key":9}
`
	var out bytes.Buffer
	n, err := WriteTrace(strings.NewReader(log), &out, config)
	if err != nil || n != 2 || out.String() != "0 1 1 1 9\n200 0 0 0 0\n" {
		t.Errorf("%d, %v: %q", n, err, out.String())
	}
	for events, want := range map[string]string{"{": "line 1: ", `{"what":"arrived","id":"a","class":"x"}`: `line 1: class: "x"`} {
		if _, err := WriteTrace(strings.NewReader(events), io.Discard, config); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v", events, err)
		}
	}
}
