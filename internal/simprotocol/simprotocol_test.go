package simprotocol

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"tulipglade/internal/balancer"
)

// parseHex parses hexadecimal bytes in words separated by white space. A word +N stands for N zero bytes.
func parseHex(tb testing.TB, text string) []byte {
	tb.Helper()
	var out []byte
	for _, word := range strings.Fields(text) {
		if n, ok := strings.CutPrefix(word, "+"); ok {
			zeros := 0
			for _, digit := range n {
				zeros = zeros*10 + int(digit-'0')
			}
			out = append(out, make([]byte, zeros)...)
			continue
		}
		b, err := hex.DecodeString(word)
		if err != nil {
			tb.Fatalf("%q: %v", word, err)
		}
		out = append(out, b...)
	}
	return out
}

// bootInfo holds the settings of an instance in JSON, as the field boot_info of a PowerOn record has them.
const bootInfo = `{"discovery":"ask","my_zone":1,"peers_total":4,"tick_us":5000,"novel":{"x":[1]},` +
	`"orgs":[{"name":"a","share":0.6,"quota_per_s":10}],` +
	`"profiles":[{"aim_us":500000,"deadline_us":1500000,"effect":"by_key","key_scope":"cell","window_us":1500000},` +
	`{"aim_us":600000,"deadline_us":2500000,"effect":"once"}],` +
	`"limits":{"max_attempts":6,"may_duplicate":true,"cancelling":true,"retry_after":false,"max_retry_after_us":9},` +
	`"rules":{"cold_from":0.12,"ramp_time_us":24000000,"overload_factor":3.0,"fall_us":3000000,"ask_every_us":7},` +
	`"report":{"fields":["utilization","backlog"],"how":"piggyback"}}`

// buildFrame builds a frame from records of 48 bytes each, written for parseHex, and a tail.
func buildFrame(tb testing.TB, tail []byte, records ...string) []byte {
	tb.Helper()
	var body []byte
	for _, record := range records {
		raw := parseHex(tb, record)
		if len(raw) != recordSize {
			tb.Fatalf("record of %d bytes: %s", len(raw), record)
		}
		body = append(body, raw...)
	}
	body = append(body, tail...)
	header := parseHex(tb, "00000000 0000000000805c5a 00000000")
	header[2], header[3] = byte(len(body)>>8), byte(len(body))
	header[15] = byte(len(records))
	return append(header, body...)
}

// startRecord returns a PowerOn record, which starts an instance, and the tail that its offset refers to.
func startRecord() (record string, tail []byte) {
	n := len(bootInfo)
	return "10 00000003 0102030405060708 00000000 0000" + hex.EncodeToString([]byte{byte(n >> 8), byte(n)}) + " +27", []byte(bootInfo)
}

// frameWithEveryEvent returns a frame with an Inventory record and one record of each event.
func frameWithEveryEvent(t *testing.T) []byte {
	t.Helper()
	start, tail := startRecord()
	listSection := hex.EncodeToString([]byte{0, 0, byte(len(tail) >> 8), byte(len(tail))})
	tail = append(tail, parseHex(t, `01 3f800000 0000 0000 0000000000000000 0a124a07 2bc3 0000
		02 3fc00000 0004 0001 00000000005d1420 0a9011f2 2bec 0000 68692037`)...)
	messageOffset := hex.EncodeToString([]byte{0, 0, byte((len(tail) - 4) >> 8), byte(len(tail) - 4)})
	return buildFrame(t, tail,
		start,
		"1a 0000 "+listSection+" 00000002 +37",
		"11 00000003 02 0000 0000000000000029 +32",
		"11 00000003 03 0000 0000000000000000 +32",
		"12 00000003 5d3a91c4 03 00002ee0 91f03b7c55d20a64 0002 00000000008405da 0001 +14",
		"16 00000003 000000000000004d +35",
		"13 00000003 5d3a91c4 00002422 0a124a07 2bc3 0000 +27",
		"14 00000003 5d3a91c4 0001 000a 00004844 0a124a07 2bc3 01 02 3f000000 40400000 00000000 00000000 +7",
		"17 00000003 0032 0a9011f2 2bec 00000578 00 00000000 00000000 00000000 00000000 +14",
		"18 00000003 0002 "+messageOffset+" 00000004 +33",
		"15 00000003 0e6f2b19 +39",
		"19 00000003 +43",
	)
}

func TestReaderDecodesEveryEvent(t *testing.T) {
	b, err := NewReader(bytes.NewReader(frameWithEveryEvent(t))).Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 0x805c5a || len(b.Events) != 11 {
		t.Fatalf("clock %x, %d events", b.Now, len(b.Events))
	}
	e := b.Events
	for i, code := range []EventCode{
		EventStart, EventEndpoints, EventEndpoints, EventRequest, EventTimer, EventResponseStart,
		EventAttemptResult, EventHealthCheck, EventPeerMessage, EventCancellation, EventStop,
	} {
		if e[i].Code != code || e[i].Instance != 3 {
			t.Errorf("event %d: code %d of instance %d", i, e[i].Code, e[i].Instance)
		}
	}
	if e[0].Seed != 0x0102030405060708 || e[0].Config.Zone != 1 || len(e[0].Config.Classes) != 2 {
		t.Errorf("start %+v", e[0])
	}
	want := []balancer.Endpoint{
		{ID: 0x0a124a072bc3, Phase: balancer.PhaseReady, Weight: 1},
		{ID: 0x0a9011f22bec, Phase: balancer.PhaseDraining, Weight: 1.5, Cell: 4, Zone: 1, StartedAt: 0x5d1420},
	}
	if e[1].ListKind != balancer.ListCached || !slices.Equal(e[1].Endpoints, want) {
		t.Errorf("endpoints %+v", e[1])
	}
	if e[2].ListKind != balancer.ListFailed || e[2].Endpoints != nil {
		t.Errorf("failed list %+v", e[2])
	}
	wantRequest := balancer.Request{ID: 0x5d3a91c4, Class: 1, Tenant: 2, Deadline: 0x8405da,
		AffinityKey: 0x91f03b7c55d20a64, IsRetry: true, CostHint: 12000}
	if got := e[3].Request; got != wantRequest {
		t.Errorf("request %+v", got)
	}
	if e[4].Timer != 0x4d {
		t.Errorf("timer %+v", e[4])
	}
	if s := e[5].Result; s.ID != 0x5d3a91c4 || s.Latency != 0x2422 || s.Endpoint != want[0].ID {
		t.Errorf("response start %+v", s)
	}
	s := e[6].Result
	if s.ID != 0x5d3a91c4 || s.Attempt != 1 || s.Outcome != balancer.OutcomeOK || s.Latency != 0x4844 || !s.RequestDone ||
		s.Endpoint != want[0].ID || *s.Load != (balancer.LoadReport{Outstanding: -1, Backlog: 3, Utilization: 0.5}) {
		t.Errorf("attempt result %+v %+v", s, s.Load)
	}
	if s := e[7].Result; s.Outcome != balancer.OutcomeConnectFailed || s.Endpoint != want[1].ID || s.Latency != 0x578 || s.Load != nil {
		t.Errorf("health check %+v", s)
	}
	if e[8].Peer != 2 || string(e[8].Data) != "hi 7" {
		t.Errorf("peer message %+v", e[8])
	}
	if e[9].Result.ID != 0x0e6f2b19 {
		t.Errorf("cancellation %+v", e[9])
	}
}

func TestWriterEncodesEveryCommand(t *testing.T) {
	w := &Writer{}
	commands := InstanceCommands{Writer: w, ID: 3}
	endpoint := balancer.EndpointID(0x0a124a072bc3)
	commands.SendAttempt(0x5d3a91c4, endpoint, 80000)
	commands.SetTimer(0x4d, 500000)
	InstanceCommands{Writer: w, ID: 5}.Log("two servers known")
	commands.CancelAttempt(0x5d3a91c4, 1)
	commands.WatchEndpoints(true)
	commands.WatchEndpoints(false)
	commands.CheckHealth(0x0a9011f22bec)
	commands.Fail(0x0e6f2b19)
	commands.Reject(0x0e6f2b19, 250000)
	commands.PollEndpoints()
	w.ReportFault(3, "index out of range")
	var out bytes.Buffer
	if err := w.Flush(&out); err != nil {
		t.Fatal(err)
	}
	want := parseHex(t, `0000000b 0000012b
		53 00000003 5d3a91c4 0a124a07 2bc3 00013880 +5
		50 00000003 000000000000004d 0007a120 +7
		55 00000005 00000000 00000011 +11
		56 00000003 5d3a91c4 0001 +13
		58 00000003 01 +18
		58 00000003 00 +18
		54 00000003 0a9011f2 2bec +13
		52 00000003 0e6f2b19 +15
		5a 00000003 0e6f2b19 0003d090 +11
		5b 00000003 +19
		59 00000003 00000011 00000012 +11
		74776f2073657276657273206b6e6f776e 696e646578206f7574206f662072616e6765`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
	out.Reset()
	if err := w.Flush(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Errorf("empty reply %x", out.Bytes())
	}
}

func TestEmptyBatchAndEnd(t *testing.T) {
	r := NewReader(bytes.NewReader(parseHex(t, "00000000 0000000000805c5a 00000000")))
	if b, err := r.Next(); err != nil || b.Now != 0x805c5a || len(b.Events) != 0 {
		t.Errorf("%+v, %v", b, err)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func TestListNumbersAreReused(t *testing.T) {
	tail := parseHex(t, `01 3f800000 0000 0000 0000000000000000 00000001 0001 0000
		01 3f800000 0000 0000 0000000000000000 00000002 0002 0000`)
	members := "11 00000003 00 000f 0000000000000029 +32"
	r := NewReader(io.MultiReader(
		bytes.NewReader(buildFrame(t, tail, "1a 000f 00000000 00000001 +37", members, "1a 000f 00000019 00000001 +37", members)),
		bytes.NewReader(buildFrame(t, nil, members))))
	b, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	later, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []balancer.EndpointID{1<<16 | 1, 2<<16 | 2, 2<<16 | 2} {
		if got := append(b.Events, later.Events...)[i].Endpoints[0].ID; got != want {
			t.Errorf("event %d has endpoint %x, want %x", i, got, want)
		}
	}
}

func TestDamagedFramesAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		in      []byte
		message string
	}{
		"short header":    {parseHex(t, "00000000 00"), "frame header: read only 5 of 16 bytes"},
		"short body":      {parseHex(t, "00000030 0000000000000000 00000001 12"), "frame body: read only 1 of 48 bytes"},
		"count too large": {parseHex(t, "00000000 0000000000000000 ffffffff"), "4294967295 records"},
		"length absurd":   {parseHex(t, "ffffffff 0000000000000000 00000000"), "length 4294967295"},
		"unknown code":    {buildFrame(t, nil, "63 +47"), "record 0 at byte 16: unknown record code 99"},
		"offset past":     {buildFrame(t, nil, "1a 0000 00000001 00000000 +37"), "Inventory: offset 1"},
		"count past":      {buildFrame(t, nil, "1a 0000 00000000 ffffffff +37"), "count 4294967295"},
		"list number":     {buildFrame(t, nil, "1a 0010 00000000 00000000 +37"), "list number 16"},
		"unknown list":    {buildFrame(t, nil, "11 00000003 01 0001 0000000000000000 +32"), "no Inventory with number 1"},
		"unknown mode":    {buildFrame(t, nil, "11 00000003 09 0001 0000000000000000 +32"), "unknown mode 9"},
		"unknown outcome": {buildFrame(t, nil, "14 00000003 00000001 0000 000b +35"), "unknown outcome 11"},
		"long report":     {buildFrame(t, nil, "17 00000003 000a 00000000 0000 00000000 05 +30"), "load report of 5 values is too long"},
		"bad settings":    {buildFrame(t, []byte("{]"), "10 00000003 +8 00000000 00000002 +27"), "boot_info"},
		"unknown phase":   {buildFrame(t, parseHex(t, "07 +24"), "1a 0000 00000000 00000001 +37"), "unknown phase 7"},
	} {
		_, err := NewReader(bytes.NewReader(c.in)).Next()
		if err == nil || !strings.Contains(err.Error(), c.message) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q in it", name, err, c.message)
		}
	}
}

func FuzzReader(f *testing.F) {
	start, tail := startRecord()
	f.Add(buildFrame(f, tail, start, "15 00000003 0e6f2b19 +39"))
	f.Add(parseHex(f, "00000000 0000000000805c5a 00000000"))
	f.Add(buildFrame(f, parseHex(f, "01 3f800000 +20"), "1a 0000 00000000 00000001 +37", "11 00000003 01 0000 +40"))
	f.Add(parseHex(f, "ffffffff 0000000000000000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for range len(in) + 1 { // more than the number of frames in the input, as each has a header
			b, err := r.Next()
			if err != nil {
				return
			}
			if len(b.Events)*recordSize > len(in) {
				t.Fatal("more events than bytes")
			}
		}
		t.Fatal("reader returns more batches than the input has bytes")
	})
}
