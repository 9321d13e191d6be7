package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

const (
	askWithin = 400 * time.Millisecond // one member: it answers in some ms, or is stopped, cut off, or has a disk that stalls
	askPause  = 100 * time.Millisecond // between two
	hopsMost  = 4                      // by which members send one on, until it waits
)

// ErrNoMembers is what a request ends with that no member has answered in its time.
var ErrNoMembers = errors.New("no member of the group has answered")

// Client asks a group: the member that it believes to lead, and, where that does not answer, the others in turn. Its methods may be
// called from any goroutine.
type Client struct {
	members []string
	http    *http.Client

	mu sync.Mutex
	to string // who has answered last
}

// NewClient returns one that knows these addresses; nil for the usual transport.
func NewClient(members []string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: idlePost, DisableCompression: true}
	}
	return &Client{members: members, http: &http.Client{Transport: transport}}
}

// one asks one member once.
func (c *Client) one(ctx context.Context, to, method, path string, body any, within time.Duration) (a Response, err error) {
	raw := []byte{}
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return a, err
		}
	}
	if within > 0 {
		var stop func()
		ctx, stop = context.WithTimeout(ctx, within)
		defer stop()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, bytes.NewReader(raw))
	if err != nil {
		return a, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, messageMost)).Decode(&a); err != nil {
		return a, fmt.Errorf("%s: status %d: %w", to, resp.StatusCode, err)
	}
	switch known, ok := codes[a.Code]; {
	case resp.StatusCode == 200:
		return a, nil
	case ok && known.err.Error() == a.Error:
		return a, known.err
	case ok:
		return a, fmt.Errorf("%w (%s)", known.err, a.Error)
	case a.Code == codeLeader:
		return a, consensus.NotLeaderError{Address: a.Leader}
	}
	return a, fmt.Errorf("%s: status %d: %s", to, resp.StatusCode, a.Error)
}

// ask asks until somebody who can has answered, or ctx ends. Sent is called before each attempt goes out. An attempt that was lost
// may have been carried out: only what may be asked twice may be asked here.
func (c *Client) ask(ctx context.Context, method, path string, body any, within time.Duration, sent func()) (Response, error) {
	last := ErrNoMembers
	next, silent := rand.IntN(len(c.members)), ""
	c.mu.Lock()
	to := c.to
	c.mu.Unlock()
	for hops := 0; ; {
		if to == "" {
			to = c.members[next%len(c.members)]
			next++
		}
		if sent != nil {
			sent()
		}
		a, err := c.one(ctx, to, method, path, body, within)
		var not consensus.NotLeaderError
		switch {
		case errors.As(err, &not) && not.Address != "" && not.Address != silent && hops < hopsMost:
			hops++
			to = not.Address
			continue
		case err == nil, a.Code != "" && !errors.As(err, &not) && !errors.Is(err, consensus.ErrOutcomeUnknown) && !errors.Is(err, consensus.ErrBusy):
			c.mu.Lock()
			c.to = to
			c.mu.Unlock()
			return a, err
		case ctx.Err() == nil:
			if last = err; a.Code == "" {
				silent = to // others may still believe that it leads: to be sent back there costs the time that is left
			}
		}
		to, hops = "", 0
		select {
		case <-ctx.Done():
			return Response{}, fmt.Errorf("%w: %w", ErrNoMembers, last)
		case <-time.After(askPause):
		}
	}
}

// ReadStatus is what the group has agreed on by now.
func (c *Client) ReadStatus(ctx context.Context) (consensus.Status, error) {
	return viewOf(c.ask(ctx, "GET", "/leases", nil, askWithin, nil))
}

// viewOf is what an answer shows. One without a view, or in which time does not go on, is none of an agent's.
func viewOf(a Response, err error) (consensus.Status, error) {
	if err == nil && (a.Status == nil || a.Status.Terms.Interval <= 0 && len(a.Status.Members) > 0) {
		err = errors.New("an answer that makes no sense")
	}
	if err != nil {
		return consensus.Status{}, err
	}
	return *a.Status, nil
}

// Status is what one member knows, whatever that is worth.
func (c *Client) Status(ctx context.Context, member string) (consensus.Status, error) {
	return viewOf(c.one(ctx, member, "GET", "/status", nil, askWithin))
}

// ChangeMembers changes the members, and returns once that is done. It is asked again only where nothing was done; where that is not known, as
// another has come to lead, the members show it.
func (c *Client) ChangeMembers(ctx context.Context, change MembershipChange) error {
	for {
		v, err := c.ReadStatus(ctx)
		if err != nil {
			return err
		}
		_, err = c.one(ctx, v.Members[v.Leader], "POST", "/members", change, 0)
		var not consensus.NotLeaderError
		switch {
		case errors.As(err, &not):
		case errors.Is(err, consensus.ErrOutcomeUnknown):
			return c.changed(ctx, change)
		default:
			return err
		}
		if err := pause(ctx, askPause); err != nil {
			return err
		}
	}
}

// changed waits until the members are as a change has them.
func (c *Client) changed(ctx context.Context, change MembershipChange) error {
	for {
		v, err := c.ReadStatus(ctx)
		if err != nil {
			return err
		}
		as := true
		for id := range change.Add {
			as = as && v.Members[id] != ""
		}
		for _, id := range change.Remove {
			as = as && v.Members[id] == ""
		}
		if as {
			return nil
		}
		if err := pause(ctx, askPause); err != nil {
			return fmt.Errorf("%w: %w", consensus.ErrOutcomeUnknown, err)
		}
	}
}

// pause waits, or tells that ctx has ended.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Do has the group carry out a command that may be asked twice: anything but Acquire without an Ask of its own.
func (c *Client) Do(ctx context.Context, verb string, command lease.Command) (lease.Grant, error) {
	a, err := c.ask(ctx, "POST", "/lease/"+verb, command, askWithin, nil)
	if err != nil || a.Grant == nil {
		return lease.Grant{}, err
	}
	return *a.Grant, nil
}
