package main

import (
	"bytes"
	"encoding/binary"
	"os/exec"
	"strings"
	"testing"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simprotocol"
)

func batch(recs []byte, tail string) []byte {
	head := make([]byte, 16)
	binary.BigEndian.PutUint32(head, uint32(len(recs)+len(tail)))
	binary.BigEndian.PutUint64(head[4:], 1000)
	binary.BigEndian.PutUint32(head[12:], uint32(len(recs)/48))
	return append(append(head, recs...), tail...)
}

func powerOn(settings string) []byte {
	rec := make([]byte, 48)
	rec[0] = simprotocol.PowerOn
	binary.BigEndian.PutUint32(rec[17:], uint32(len(settings)))
	return rec
}

func TestEndOfInputIsCleanAndEachBatchAnswered(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(append(batch(nil, ""), batch(nil, "")...)), &out); err != nil || out.Len() != 16 {
		t.Errorf("%v, %d bytes", err, out.Len())
	}
}

func TestBadInputExitsWithOnePlainLine(t *testing.T) {
	bin := t.TempDir() + "/simadapter"
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	none := `{"discovery":"push"}`
	for name, in := range map[string][]byte{
		"short":               []byte("abc"),
		"no classes":          batch(powerOn(none), none),
		"an unknown instance": batch(append([]byte{simprotocol.Elapsed}, make([]byte, 47)...), ""),
	} {
		cmd := exec.Command(bin)
		cmd.Stdin = bytes.NewReader(in)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		if e, ok := err.(*exec.ExitError); !ok || e.ExitCode() != 1 {
			t.Errorf("%s: %v, want exit status 1", name, err)
		}
		if got := stderr.String(); strings.Count(got, "\n") != 1 || !strings.HasPrefix(got, "simadapter: ") {
			t.Errorf("%s: standard error %q", name, got)
		}
	}
}

func TestPanicBecomesFault(t *testing.T) {
	w := &simprotocol.Writer{}
	live := map[uint32]*balancer.Balancer{7: {}} // no settings: the module divides by its tenants
	ev := simprotocol.Event{Code: simprotocol.Settled, Instance: 7}
	if err := step(live, w, 1, &ev); err != nil {
		t.Fatal(err)
	}
	live[7] = nil
	_ = w.Flush(&bytes.Buffer{})
	broken := simprotocol.Event{Code: simprotocol.Members, Instance: 7, Hosts: []balancer.Endpoint{{ID: 1, Phase: balancer.PhaseReady}}}
	live[7] = &balancer.Balancer{}
	if err := step(live, w, 1, &broken); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	_ = w.Flush(&out)
	if out.Len() < 32 || out.Bytes()[8] != 89 || !strings.Contains(out.String(), "nil") {
		t.Errorf("reply %q, want a Fault with the panic's text", out.String())
	}
}
