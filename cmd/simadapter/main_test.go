package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os/exec"
	"strings"
	"testing"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simprotocol"
)

// Sizes and codes of the simulator's protocol. They are repeated here so that the tests don't depend on the values in
// the code under test.
const (
	frameHeaderSize  = 16
	recordSize       = 48
	replyHeaderSize  = 8
	commandFaultCode = 89
)

// buildFrame returns a frame as the simulator sends it, with the given records and tail.
func buildFrame(records []byte, tail string) []byte {
	header := make([]byte, frameHeaderSize)
	binary.BigEndian.PutUint32(header, uint32(len(records)+len(tail)))
	binary.BigEndian.PutUint64(header[4:], 1000)
	binary.BigEndian.PutUint32(header[12:], uint32(len(records)/recordSize))
	return append(append(header, records...), tail...)
}

// startRecord returns a record that starts an instance. Its settings must be at the start of the frame's tail.
func startRecord(settings string) []byte {
	record := make([]byte, recordSize)
	record[0] = byte(simprotocol.EventStart)
	binary.BigEndian.PutUint32(record[17:], uint32(len(settings)))
	return record
}

func TestRunAnswersEachBatchAndEndsWithInput(t *testing.T) {
	var output bytes.Buffer
	input := append(buildFrame(nil, ""), buildFrame(nil, "")...)
	if err := run(bytes.NewReader(input), &output); err != nil || output.Len() != 2*replyHeaderSize {
		t.Errorf("%v, %d bytes", err, output.Len())
	}
}

func TestInvalidInputExitsWithOnePlainLine(t *testing.T) {
	program := t.TempDir() + "/simadapter"
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	withoutClasses := `{"discovery":"push"}`
	for name, input := range map[string][]byte{
		"short":               []byte("abc"),
		"no classes":          buildFrame(startRecord(withoutClasses), withoutClasses),
		"an unknown instance": buildFrame(append([]byte{byte(simprotocol.EventTimer)}, make([]byte, recordSize-1)...), ""),
	} {
		cmd := exec.Command(program)
		cmd.Stdin = bytes.NewReader(input)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%s: %v, want exit status 1", name, err)
		}
		if got := stderr.String(); strings.Count(got, "\n") != 1 || !strings.HasPrefix(got, "simadapter: ") {
			t.Errorf("%s: standard error %q", name, got)
		}
	}
}

func TestPanicBecomesFault(t *testing.T) {
	const instance = 7
	a := newAdapter()
	a.balancers[instance] = &balancer.Balancer{} // its zero value panics when it merges an endpoint list
	result := simprotocol.Event{Code: simprotocol.EventAttemptResult, Instance: instance}
	if err := a.handleEvent(1, &result); err != nil {
		t.Fatal(err)
	}
	_ = a.writer.Flush(&bytes.Buffer{}) // never fails
	a.balancers[instance] = &balancer.Balancer{}
	endpoints := simprotocol.Event{Code: simprotocol.EventEndpoints, Instance: instance,
		Endpoints: []balancer.Endpoint{{ID: 1, Phase: balancer.PhaseReady}}}
	if err := a.handleEvent(1, &endpoints); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	_ = a.writer.Flush(&output) // never fails
	if output.Len() < 32 || output.Bytes()[replyHeaderSize] != commandFaultCode || !strings.Contains(output.String(), "nil") {
		t.Errorf("reply %q, want a Fault with the panic's text", output.String())
	}
}
