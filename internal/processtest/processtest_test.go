package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

func TestMain(m *testing.M) {
	Role()
	if len(os.Args) > 2 && os.Args[1] == "-change-node" {
		if err := changeNode(os.Args[2], os.Getenv("TULIP_NODE")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Schedules of faults between real processes: what must hold holds, and somebody acts again after each.
func TestSchedules(t *testing.T) {
	var sum Findings
	err := Schedules(t.Context(), 1, 12, 4, Without{}, func(seed uint64, f Findings, err error) {
		if err != nil || len(f.Broken) > 0 {
			t.Errorf("schedule %d: %v %v", seed, err, f.Broken)
		}
		sum.Add(f)
	})
	t.Logf("%+v", sum)
	if err != nil || len(sum.Faults) < 10 || sum.Acts < 12 {
		t.Errorf("%v; too mild to show anything: %+v", err, sum)
	}
}

func begin(t *testing.T, o Options) *Harness {
	t.Helper()
	r, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

func (r *Harness) await(t *testing.T, from int, want func(Event) bool) (Event, int) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 40*time.Second)
	defer stop()
	e, next, err := r.Await(ctx, from, want)
	if err != nil {
		for _, e := range r.Log() {
			t.Logf("%+v", e)
		}
		t.Fatal("it does not come:", err)
	}
	return e, next
}

func acts(after lease.Token) func(Event) bool {
	return func(e Event) bool { return e.Kind == "begins" && e.Token > after }
}

// goOn has a process go on that stops itself, once it has.
func (r *Harness) goOn(t *testing.T, i int) {
	t.Helper()
	r.mu.Lock()
	pid := r.parts[i].cmd.Process.Pid
	r.mu.Unlock()
	for {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			t.Fatal(err)
		}
		if _, state, _ := strings.Cut(string(raw), ") "); state[0] == 'T' {
			r.signal(i, syscall.SIGCONT)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// halted has a holder stop between its check and its act, for longer than its lease, and go on after the next holder has acted.
func halted(t *testing.T, without Without) (old lease.Token, f Findings) {
	r := begin(t, Options{Agents: 3, Holders: 2, Without: without})
	for i := range 2 {
		r.order(3+i, "halt")
	}
	stopped, at := r.await(t, 0, func(e Event) bool { return e.Kind == "halts" })
	second, at := r.await(t, at, func(e Event) bool { return e.Kind == "halts" && e.Token > stopped.Token }) // the lease has ended: it is the other's
	r.goOn(t, r.Index(second.Process))
	_, at = r.await(t, at, acts(stopped.Token))
	r.goOn(t, r.Index(stopped.Process))
	r.await(t, at, func(e Event) bool { return (e.Kind == "refused" || e.Kind == "begins") && e.Token == stopped.Token })
	return stopped.Token, Check(r.Log())
}

// What a holder that was stopped sends is refused where it lands; without the fence it is let in, and that is found.
func TestAHolderThatWasStopped(t *testing.T) {
	if old, f := halted(t, Without{}); f.Rejected == 0 || len(f.Broken) > 0 {
		t.Errorf("token %d: %d refused, broken %v", old, f.Rejected, f.Broken)
	}
	if _, f := halted(t, Without{Fence: true}); len(f.Broken) == 0 {
		t.Error("without the fence nothing is found")
	}
}

// cutOff has a holder lose the group, but not what it acts upon, until the next holder has acted three times.
func cutOff(t *testing.T, refused bool, without Without, more ...faultinject.Fault) Findings {
	r := begin(t, Options{Agents: 3, Holders: 2, Without: without, Acts: 1 << 20})
	e, at := r.await(t, 0, acts(0))
	who := r.Index(e.Text)
	for _, f := range more {
		f.Processes = []int{who}
		r.Fault(f)
	}
	r.mu.Lock()
	r.on[-1] = func(from, to int) (link, bool) { return link{cut: true}, from == who && to < 3 }
	r.mu.Unlock()
	r.relink()
	next, at := r.await(t, at, func(o Event) bool { return acts(e.Token)(o) && o.Text != e.Text })
	for range 3 {
		_, at = r.await(t, at, acts(next.Token-1))
	}
	if refused {
		r.await(t, 0, func(e Event) bool { return e.Kind == "refused" })
	}
	return Check(r.Log())
}

// A holder that has lost the group stops before the next one begins. Without the guard, or with a clock that is far too slow, it goes
// on, and only its token stops it: nothing of it is let in.
func TestAHolderThatLostTheGroup(t *testing.T) {
	if f := cutOff(t, false, Without{}); f.Rejected > 0 || len(f.Broken) > 0 {
		t.Errorf("%d refused, broken %v", f.Rejected, f.Broken)
	}
	if f := cutOff(t, true, Without{Guard: true}); f.Rejected == 0 || len(f.Broken) > 0 {
		t.Errorf("without the guard: %d refused, broken %v", f.Rejected, f.Broken)
	}
	if f := cutOff(t, true, Without{}, faultinject.Fault{Kind: faultinject.ClockRate, Size: 0.1}); f.Rejected == 0 || len(f.Broken) > 0 {
		t.Errorf("with a slow clock: %d refused, broken %v", f.Rejected, f.Broken)
	}
}

// All agents are killed at once, and started in any order: no token is given twice. With disks that have nothing of what they say
// they have, that is found.
func TestAllAgentsKilledAtOnce(t *testing.T) {
	for _, lazy := range []bool{false, true} {
		r := begin(t, Options{Agents: 3, Holders: 2, Without: Without{Sync: lazy}})
		_, at := r.await(t, 0, acts(1))
		for _, i := range []int{0, 1, 2} {
			r.kill(i)
		}
		for _, i := range []int{2, 0, 1} {
			if err := r.start(i); err != nil {
				t.Fatal(err)
			}
		}
		_, at = r.await(t, at, func(e Event) bool { return e.Kind == "lead" && strings.Contains(e.Text, "true") })
		r.await(t, at, func(e Event) bool { return e.Kind == "acquire" && e.Text == "" })
		if f := Check(r.Log()); lazy != (len(f.Broken) > 0) {
			t.Errorf("disks that are lazy %v: broken %v", lazy, f.Broken)
		}
	}
}

// An agent whose disk fails ends, and says so; the others go on.
func TestADiskThatFails(t *testing.T) {
	r := begin(t, Options{Agents: 3, Holders: 2})
	_, at := r.await(t, 0, acts(0))
	lead := r.Leader()
	end := r.Fault(faultinject.Fault{Kind: faultinject.DiskSync, Processes: []int{lead}})
	gone, at := r.await(t, at, func(e Event) bool { return e.Kind == "ended" && e.Process == r.parts[lead].Name })
	if !strings.Contains(gone.Text, errFault.Error()) {
		t.Error(gone)
	}
	r.await(t, at, func(e Event) bool { return e.Kind == "lead" && strings.Contains(e.Text, "true") })
	_, at = r.await(t, r.Here(), acts(0))
	end()
	r.await(t, at, func(e Event) bool { return e.Kind == "leader" && e.Process == r.parts[lead].Name })
	if f := Check(r.Log()); len(f.Broken) > 0 {
		t.Error(f.Broken)
	}
}

// A member is replaced while holders act, and the leader is killed in the midst of that: the new one has a say in the end, so that
// the group goes on without one of the old.
func TestAMemberIsReplaced(t *testing.T) {
	r := begin(t, Options{Agents: 3, Spares: 1, Holders: 2})
	r.await(t, 0, acts(0))
	var addrs []string
	for _, p := range r.parts[:3] {
		addrs = append(addrs, p.Listen)
	}
	c := agent.NewClient(addrs, nil)
	ctx, stop := context.WithTimeout(t.Context(), 40*time.Second)
	defer stop()
	lead := r.Leader()
	out := uint64((lead+1)%3 + 1) // not the one that leads
	first := make(chan error, 1)
	go func() {
		first <- c.ChangeMembers(ctx, agent.MembershipChange{Add: map[uint64]string{4: r.parts[3].Listen}, Remove: []uint64{out}})
	}()
	r.await(t, 0, func(e Event) bool { return e.Process == "agent4" && e.Kind == "leader" }) // it has been heard of
	r.kill(lead)
	if err := r.start(lead); err != nil {
		t.Fatal(err)
	}
	<-first // done, or not known
	for {
		v, err := c.ReadStatus(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(v.Members) == 3 && v.Members[4] != "" && v.Members[out] == "" {
			break
		}
		time.Sleep(50 * time.Millisecond) // whoever leads goes on with it
	}
	r.kill(int(out) - 1)
	r.kill((int(out)-1+1)%3 + 0)
	_, at := r.await(t, r.Here(), acts(0))
	r.await(t, at, acts(0))
	if f := Check(r.Log()); len(f.Broken) > 0 {
		t.Error(f.Broken)
	}
}

// A history that fits no order is found, and so is a schedule after which nobody acts.
func TestTheChecksCanFail(t *testing.T) {
	log := []Event{{At: 10, From: 1, Process: "a", Kind: "acquire", Token: 1, RequestID: 1}, {At: 30, From: 20, Process: "b", Kind: "acquire", Token: 2, RequestID: 1}}
	if f := Check(log); len(f.Broken) > 0 {
		t.Error(f.Broken)
	}
	if f := Check(append(log, Event{At: 50, From: 40, Process: "a", Kind: "renew", Token: 1})); len(f.Broken) != 1 {
		t.Error("a renewal after the next grant:", f.Broken)
	}
	r := begin(t, Options{Agents: 1, Holders: 1})
	r.await(t, 0, acts(0))
	r.kill(2)
	r.parts[2].Listen = "127.0.0.1:1" // it can't come up
	if err := r.Play(t.Context(), nil, 3*time.Second); !errors.Is(err, ErrIdle) {
		t.Error(err)
	}
}
