package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/admin"
	"tulipglade/internal/fencing"
	"tulipglade/internal/hotrestart"
	"tulipglade/internal/node"
)

// memory has the collector work harder before memory runs out; so many processes share what one may use.
func memory(mb, processes int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 3 / 4 / int64(processes))
	}
}

// shares counts the processes that are this node.
type shares struct {
	n  *node.Node
	mb int

	mu     sync.Mutex
	others int
}

// add counts one that comes, or one that goes.
func (s *shares) add(others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others += others
	s.n.SetProcessCount(s.others + 1)
	memory(s.mb, s.others+1)
}

// handed is what goes from an older process to a newer one.
type handed struct {
	node.HotRestartState
	Fence []fencing.Grant `json:"Fence"` // the newest tokens that operators' calls have named
}

// taken is what an older process has handed over.
type taken struct {
	*hotrestart.Handoff
	handed
	ln netpoll.Listener
}

// takeOver asks an older process of this node for its place. Where there is none, or it does not answer, this one starts
// on its own.
func takeOver(path string, log *slog.Logger) *taken {
	t, err := hotrestart.Receive(path)
	if err != nil {
		log.Info("nothing taken over", "err", err)
		return nil
	}
	got := &taken{Handoff: t}
	err = jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(t.Body, &got.handed)
	t.Body = nil
	if err == nil {
		got.ln, err = node.InheritListener(t.Listener)
	}
	if err != nil {
		log.Warn("nothing taken over", "err", err)
		_ = syscall.Close(t.Listener)
		_ = t.Close()
		return nil
	}
	log.Info("taken over", "rev", got.EndpointList.Rev, "backends", len(got.EndpointList.Targets), "open", len(got.RequestIDs))
	return got
}

// predecessor hands this process's place to a newer one.
type predecessor struct {
	n     *node.Node
	calls *admin.Server
	gate  *node.GatedListener
	with  *shares
	log   *slog.Logger

	mu       sync.Mutex
	next     bool // a newer process accepts
	stopping bool
}

// State is the Offer's.
func (g *predecessor) State() ([]byte, int, error) {
	answer := make(chan node.HotRestartState, 1)
	g.n.ExportState(func(h node.HotRestartState) { answer <- h })
	var h node.HotRestartState
	select {
	case h = <-answer:
	case <-time.After(hotrestart.Timeout):
		return nil, -1, errors.New("the node did not answer in time")
	}
	body, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(handed{h, g.calls.SeenTokens()})
	fd := -1
	if err == nil {
		fd, err = syscall.Dup(g.gate.Fd())
	}
	if err != nil {
		g.log.Warn("not handed over", "err", err)
		return nil, -1, err
	}
	g.with.add(1)
	g.log.Info("handed over", "rev", h.EndpointList.Rev, "backends", len(h.EndpointList.Targets), "open", len(h.RequestIDs), "bytes", len(body))
	return body, fd, nil
}

// SuccessorServing is the Offer's: what comes now finds the newer process, as this one leaves.
func (g *predecessor) SuccessorServing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next = true
	if g.stopping {
		g.gate.StopAccepting()
	}
}

// SuccessorExited is the Offer's.
func (g *predecessor) SuccessorExited() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping && g.next {
		return // nobody accepts any more, and this process is about to end
	}
	g.next = false
	g.with.add(-1)
	g.log.Info("the newer process has ended")
}

// stop tells that this process leaves: it accepts no more if another does.
func (g *predecessor) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	if g.next {
		g.gate.StopAccepting()
	}
}

// listen opens the clients' address, or takes over the socket of an older process.
func listen(c *Config, t *taken) (netpoll.Listener, error) {
	if t != nil {
		return t.ln, nil
	}
	return node.Listen(c.Listen, c.Admin != "")
}

// offerPath is where processes of this node meet, or nothing: only those that an operator can call are upgraded.
func offerPath(c *Config, log *slog.Logger) string {
	if c.Admin == "" {
		return ""
	}
	path, err := hotrestart.Path(os.Getenv("TMPDIR"), c.Name, c.Listen)
	if err != nil {
		log.Warn("no hand-over", "err", err)
	}
	return path
}

// offer has this process hand its place over when a newer one asks.
func offer(path string, g *predecessor, log *slog.Logger) func() {
	if path == "" {
		return func() {}
	}
	o, err := hotrestart.NewOffer(path, g)
	if err != nil {
		log.Warn("no hand-over", "err", fmt.Errorf("%s: %w", path, err))
		return func() {}
	}
	return func() { _ = o.Close() }
}
