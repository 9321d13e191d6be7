// Package processtest plays faults between real processes: agents, holders of leases, and what they act upon, with a relay for each
// direction of each pair. The program that uses it starts itself anew as each of them (see Role), so that disk and clock can be bent by
// settings that the real programs do not have, round the very code that they run.
package processtest

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
)

// roleEnv holds a role and its settings, as JSON.
const roleEnv = "TULIP_RIG_ROLE"

// settings are what a process of the rig is started with.
type settings struct {
	Role    string                 `json:"role"` // agent, holder or target
	Name    string                 `json:"name"`
	Dir     string                 `json:"dir,omitempty"`
	Listen  string                 `json:"listen,omitempty"`
	Dial    map[string]string      `json:"dial,omitempty"` // by true address: the relay to go by
	Agents  []string               `json:"agents,omitempty"`
	Target  string                 `json:"target,omitempty"`
	For     time.Duration          `json:"for,omitempty"`
	Acts    int                    `json:"acts,omitempty"`
	Plans   *agent.FailoverOptions `json:"plans,omitempty"`
	Without Without                `json:"without"`
}

// Without is a part that is left out, to show that the checks find it.
type Without struct {
	Guard bool `json:"guard,omitempty"` // holders act on, whatever has become of the lease
	Fence bool `json:"fence,omitempty"` // whoever acts is let in
	Sync  bool `json:"sync,omitempty"`  // agents' disks have got nothing of what they say they have
}

// Event is a line of the one log. All processes stamp theirs with the machine's one monotonic clock, which no fault bends.
type Event struct {
	At        time.Duration `json:"at"`
	From      time.Duration `json:"from,omitempty"` // of what was asked: when it was
	Process   string        `json:"who"`
	Kind      string        `json:"what"`
	Slot      int           `json:"seat,omitempty"`
	Token     lease.Token   `json:"token,omitempty"`
	RequestID uint64        `json:"ask,omitempty"`
	Text      string        `json:"text,omitempty"`
}

// Role is to be called first thing in main: where the process was started as part of a rig it plays its part, and does not return.
func Role() {
	raw := os.Getenv(roleEnv)
	if raw == "" {
		return
	}
	var s settings
	if err := json.Unmarshal([]byte(raw), &s); err != nil {
		fmt.Fprintln(os.Stderr, roleEnv, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p := &process{settings: s, out: json.NewEncoder(os.Stdout), rate: 1}
	p.began = agent.Clock()
	go p.orders(os.Stdin)
	play := map[string]func(context.Context) error{"agent": p.agent, "holder": p.holder, "target": p.target}[s.Role]
	if err := play(ctx); err != nil {
		p.tell(Event{Kind: "ended", Text: err.Error()})
		os.Exit(1)
	}
	os.Exit(0)
}

// process is one that plays a part.
type process struct {
	settings
	mu    sync.Mutex
	out   *json.Encoder
	began time.Duration // by the true clock
	bent  time.Duration // what its clock showed then
	rate  float64
	stall time.Duration
	full  bool // nothing can be written
	sync  bool // what is written fails its sync
	halt  bool // stop between the next check and its act
}

func (p *process) tell(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.At, e.Process = agent.Clock(), p.Name
	_ = p.out.Encode(e) // the rig has gone
}

// clock is the process's own, bent as ordered.
func (p *process) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clockLocked()
}

func (p *process) clockLocked() time.Duration {
	return p.bent + time.Duration(float64(agent.Clock()-p.began)*p.rate)
}

var errFault = errors.New("a fault that was ordered")

// orders takes in what is to go wrong in this process, line by line, to the end of the rig.
func (p *process) orders(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		what, arg, _ := strings.Cut(lines.Text(), " ")
		x, _ := strconv.ParseFloat(arg, 64) // there is none for some
		p.mu.Lock()
		now := p.clockLocked()
		switch what {
		case "rate":
			p.bent, p.began, p.rate = now, agent.Clock(), x
		case "jump":
			p.bent += time.Duration(x) * time.Millisecond
		case "stall":
			p.stall = time.Duration(x) * time.Millisecond
		case "full":
			p.full = true
		case "sync":
			p.sync = true
		case "halt":
			p.halt = true
		}
		p.mu.Unlock()
	}
	os.Exit(0)
}

func (p *process) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	by, ok := p.Dial[addr]
	if addr == p.Listen { // itself
		by, ok = addr, true
	}
	if !ok {
		return nil, fmt.Errorf("%s: no way there", addr)
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, by)
}

func (p *process) transport() *http.Transport {
	return &http.Transport{DialContext: p.dial, MaxIdleConnsPerHost: 4, DisableCompression: true}
}

// ---- agent ----

// lines has what an agent logs go into the one log.
type lines struct{ p *process }

func (l *lines) Enabled(context.Context, slog.Level) bool { return true }
func (l *lines) WithAttrs([]slog.Attr) slog.Handler       { return l }
func (l *lines) WithGroup(string) slog.Handler            { return l }
func (l *lines) Handle(_ context.Context, r slog.Record) error {
	text := ""
	r.Attrs(func(a slog.Attr) bool {
		text += " " + a.String()
		return true
	})
	l.p.tell(Event{Kind: r.Message, Text: strings.TrimSpace(text)})
	return nil
}

// before lies before an agent's disk.
type before struct {
	p    *process
	disk consensus.Storage
}

func (b before) Save(w consensus.StorageUpdate) error {
	b.p.mu.Lock()
	stall, full, sync := b.p.stall, b.p.full, b.p.sync
	b.p.mu.Unlock()
	time.Sleep(stall)
	switch {
	case full:
		return errFault
	case b.p.Without.Sync:
		return nil
	}
	if err := b.disk.Save(w); err != nil || !sync {
		return err
	}
	return errFault // it may be there, or not
}

func (p *process) agent(ctx context.Context) error {
	ln, err := net.Listen("tcp4", p.Listen)
	if err != nil {
		return err
	}
	return agent.Serve(ctx, p.Dir, agent.Options{Log: slog.New(&lines{p}), Clock: p.clock, Dial: p.dial, Listener: ln, Failover: p.Plans,
		WrapStorage: func(d consensus.Storage) consensus.Storage { return before{p, d} }})
}

// ---- holder ----

const (
	leaseName = "task"
	longest   = 300 * time.Millisecond // of an act, with the way there
)

// holder takes the lease whenever it can, acts under it, and lets it go now and then.
func (p *process) holder(ctx context.Context) error {
	client := agent.NewClient(p.Agents, recorder{p, p.transport()})
	target := &http.Client{Transport: p.transport(), Timeout: 10 * time.Second}
	p.tell(Event{Kind: "up"})
	for ctx.Err() == nil {
		from := agent.Clock()
		ask, stop := context.WithTimeout(ctx, 2*time.Second)
		l, err := agent.Acquire(ask, client, agent.LeaseOptions{Name: leaseName, Duration: p.For, Holder: p.Name + "/" + strconv.Itoa(os.Getpid()), Clock: p.clock,
			Margin: 50 * time.Millisecond})
		stop()
		if err != nil {
			_ = sleep(ctx, 50*time.Millisecond, 200*time.Millisecond)
			continue
		}
		g, _ := l.Grant()
		p.tell(Event{Kind: "holds", Slot: g.Slot, Token: g.Token, From: from})
		p.act(ctx, l, g, target)
		if l.Reason() == nil {
			release, stop := context.WithTimeout(ctx, 2*time.Second)
			_ = l.Release(release) // it ends by itself
			stop()
		}
		p.tell(Event{Kind: "done", Slot: g.Slot, Token: g.Token})
		_ = sleep(ctx, 0, 200*time.Millisecond)
	}
	return nil
}

// recorder writes down what was asked of the group and what came of it, as far as an answer came.
type recorder struct {
	p  *process
	by http.RoundTripper
}

func (r recorder) RoundTrip(req *http.Request) (*http.Response, error) {
	verb, ok := strings.CutPrefix(req.URL.Path, "/lease/")
	if !ok {
		return r.by.RoundTrip(req)
	}
	var c lease.Command
	body, err := req.GetBody()
	if err == nil {
		err = json.NewDecoder(body).Decode(&c)
	}
	if err != nil {
		return nil, err
	}
	from := agent.Clock()
	resp, err := r.by.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return nil, err
	}
	var a agent.Response
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, err
	}
	if resp.StatusCode == 200 || a.Code == "taken" || a.Code == "not-held" {
		e := Event{Kind: verb, Token: c.Token, From: from, RequestID: c.RequestID, Text: a.Code}
		if verb == "acquire" && a.Grant != nil {
			e.Token = a.Grant.Token
		}
		r.p.tell(e)
	}
	resp.Body = io.NopCloser(bytes.NewReader(raw))
	return resp, nil
}

// sleep waits for a time between these, or tells that ctx has ended.
func sleep(ctx context.Context, least, most time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(least + time.Duration(rand.Int64N(int64(most-least)+1))):
		return nil
	}
}

// act acts until the lease is in doubt, or it is let go.
func (p *process) act(ctx context.Context, l *agent.Lease, g lease.Grant, target *http.Client) {
	for acts := cmp.Or(p.Acts, 1+rand.IntN(40)); acts > 0 && ctx.Err() == nil; acts-- {
		if _, err := l.BeginAction(longest); err != nil && !p.Without.Guard {
			p.tell(Event{Kind: "withheld", Slot: g.Slot, Token: g.Token, Text: err.Error()})
			return
		}
		p.mu.Lock()
		halt := p.halt
		p.halt = false
		p.mu.Unlock()
		if halt {
			p.tell(Event{Kind: "halts", Slot: g.Slot, Token: g.Token})
			goes := make(chan os.Signal, 1)
			signal.Notify(goes, syscall.SIGCONT)
			_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			<-goes // the stop takes hold a little later: what follows must not have begun by then
		}
		resp, err := target.Post(fmt.Sprintf("http://%s/act?seat=%d&token=%d&who=%s", p.Target, g.Slot, g.Token, p.Name), "", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
		_ = sleep(ctx, 0, 100*time.Millisecond)
	}
	for p.Without.Guard && ctx.Err() == nil { // it goes by nothing
		resp, err := target.Post(fmt.Sprintf("http://%s/act?seat=%d&token=%d&who=%s", p.Target, g.Slot, g.Token, p.Name), "", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
		_ = sleep(ctx, 50*time.Millisecond, 100*time.Millisecond)
	}
}

// ---- target ----

// target is what is acted upon. Its log says what truly happened.
func (p *process) target(ctx context.Context) error {
	var (
		mu    sync.Mutex
		doors fencing.Fence
	)
	ln, err := net.Listen("tcp4", p.Listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		seat, _ := strconv.Atoi(q.Get("seat"))
		token, _ := strconv.ParseUint(q.Get("token"), 10, 64)
		g := lease.Grant{Name: leaseName, Slot: seat, Token: lease.Token(token)}
		e := Event{Slot: seat, Token: g.Token, Text: q.Get("who")}
		mu.Lock()
		err := doors.Begin(g)
		if let := err == nil || p.Without.Fence; !let {
			e.Kind = "refused"
			p.tell(e)
			mu.Unlock()
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.Kind = "begins"
		p.tell(e)
		mu.Unlock()
		time.Sleep(10*time.Millisecond + time.Duration(rand.Int64N(int64(longest/3)))) // it does not take longer for nobody listening
		mu.Lock()
		e.Kind = "ends"
		p.tell(e)
		if err == nil {
			doors.End(g)
		}
		mu.Unlock()
	})}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	p.tell(Event{Kind: "up"})
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
