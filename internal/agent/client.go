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
	// attemptTimeout limits one request to one member. A member answers within milliseconds unless its process is
	// stopped, its network is cut off, or its disk stalls.
	attemptTimeout = 400 * time.Millisecond
	retryInterval  = 100 * time.Millisecond
	maxRedirects   = 4 // successive redirects to a leader that the client follows before it waits
)

var (
	// ErrNoMembers is returned when no member has given a final answer to a request before its context ended.
	ErrNoMembers = errors.New("no member of the group has answered")

	errInvalidResponse = errors.New("not a response of an agent: the status is missing or incomplete")
)

// Client sends requests to a group. It prefers the member that answered last, and tries the others in turn if that one
// does not answer. It is safe for concurrent use.
type Client struct {
	members []string
	http    *http.Client

	mu            sync.Mutex
	lastResponder string // address; empty: unknown
}

// NewClient returns a Client of a group with members at these addresses. A nil transport selects the default one.
func NewClient(members []string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true}
	}
	return &Client{members: members, http: &http.Client{Transport: transport}}
}

// groupRequest is a request to the group.
type groupRequest struct {
	method  string
	path    string
	body    any           // encoded as JSON; nil: empty
	timeout time.Duration // limit for one attempt; 0: none
	onSend  func()        // called before each attempt; may be nil
}

// attempt sends a request to one member once.
func (c *Client) attempt(ctx context.Context, member string, call groupRequest) (response Response, err error) {
	raw := []byte{}
	if call.body != nil {
		if raw, err = json.Marshal(call.body); err != nil {
			return Response{}, err
		}
	}
	if call.timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, call.timeout)
		defer stop()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+member+call.path, bytes.NewReader(raw))
	if err != nil {
		return Response{}, err
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer closeBody(httpResponse)
	if err := json.NewDecoder(io.LimitReader(httpResponse.Body, maxMessageBytes)).Decode(&response); err != nil {
		return response, fmt.Errorf("%s: status %d: %w", member, httpResponse.StatusCode, err)
	}
	if httpResponse.StatusCode == http.StatusOK {
		return response, nil
	}
	return response, responseError(member, httpResponse.StatusCode, response)
}

// responseError returns the error that a response reports: the typed error of its code, or one with the HTTP status.
func responseError(member string, status int, response Response) error {
	known, ok := errorCodes[response.Code]
	switch {
	case ok && known.err.Error() == response.Error:
		return known.err
	case ok:
		return fmt.Errorf("%w (%s)", known.err, response.Error)
	case response.Code == codeNotLeader:
		return consensus.NotLeaderError{Address: response.Leader}
	}
	return fmt.Errorf("%s: status %d: %s", member, status, response.Error)
}

// isFinal reports whether the result of an attempt is the group's answer to the request. Any other result may be
// different on a retry.
func isFinal(response Response, err error) bool {
	if err == nil {
		return true
	}
	var notLeader consensus.NotLeaderError
	isTransient := errors.As(err, &notLeader) || errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, consensus.ErrBusy)
	return response.Code != "" && !isTransient
}

// send retries a request until the group has answered or ctx ends. An attempt without an answer may have been carried
// out, so the request must be idempotent.
func (c *Client) send(ctx context.Context, call groupRequest) (Response, error) {
	lastErr := ErrNoMembers
	nextMember := rand.IntN(len(c.members))
	// Other members may still believe that the member that did not answer is the leader. Following their redirects to
	// it would use up the remaining time.
	unresponsive := ""
	member := c.responder()
	for redirects := 0; ; {
		if member == "" {
			member = c.members[nextMember%len(c.members)]
			nextMember++
		}
		if call.onSend != nil {
			call.onSend()
		}
		response, err := c.attempt(ctx, member, call)
		var notLeader consensus.NotLeaderError
		if errors.As(err, &notLeader) && notLeader.Address != "" && notLeader.Address != unresponsive && redirects < maxRedirects {
			redirects++
			member = notLeader.Address
			continue
		}
		if isFinal(response, err) {
			c.setResponder(member)
			return response, err
		}
		if ctx.Err() == nil {
			lastErr = err
			if response.Code == "" {
				unresponsive = member
			}
		}
		member, redirects = "", 0
		if sleepContext(ctx, retryInterval) != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrNoMembers, lastErr)
		}
	}
}

func (c *Client) responder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponder
}

func (c *Client) setResponder(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponder = member
}

// SendCommand sends a command on a lease to the group, with retries, and returns the resulting grant. To be idempotent,
// each Acquire command must have a RequestID of its own.
func (c *Client) SendCommand(ctx context.Context, verb string, command lease.Command) (lease.Grant, error) {
	response, err := c.send(ctx, groupRequest{method: http.MethodPost, path: pathLease + verb, body: command, timeout: attemptTimeout})
	if err != nil || response.Grant == nil {
		return lease.Grant{}, err
	}
	return *response.Grant, nil
}

// SetMaxHolders sets the number of slots of a lease. Each attempt names the revision of the slots that was read before,
// so that one which arrives late does not undo a later change.
func (c *Client) SetMaxHolders(ctx context.Context, name string, maxHolders int) error {
	command := lease.Command{Name: name, MaxHolders: maxHolders, RequestID: lastRequestID.Add(1)}
	for {
		status, err := c.ReadStatus(ctx)
		if err != nil {
			return err
		}
		command.IfRevision = status.SlotsRevision
		if _, err = c.SendCommand(ctx, verbSetMaxHolders, command); !errors.Is(err, lease.ErrSuperseded) {
			return err
		}
	}
}

// ReadStatus returns the status of the group, which includes everything that it agreed on before the call.
func (c *Client) ReadStatus(ctx context.Context) (consensus.Status, error) {
	return checkedStatus(c.send(ctx, groupRequest{method: http.MethodGet, path: pathLeases, timeout: attemptTimeout}))
}

// Status returns the status of the group as one member knows it, which may be stale.
func (c *Client) Status(ctx context.Context, member string) (consensus.Status, error) {
	return checkedStatus(c.attempt(ctx, member, groupRequest{method: http.MethodGet, path: pathStatus, timeout: attemptTimeout}))
}

// checkedStatus returns the status in a response, or an error if it is missing or incomplete.
func checkedStatus(response Response, err error) (consensus.Status, error) {
	if err != nil {
		return consensus.Status{}, err
	}
	status := response.Status
	if status == nil || status.Terms.Interval <= 0 && len(status.Members) > 0 {
		return consensus.Status{}, errInvalidResponse
	}
	return *status, nil
}

// ChangeMembers changes the members of the group, and returns once the change has been made. It sends the change again
// only if it was certainly not made. If the outcome is unknown, since the leader has changed, it waits until the list
// of members shows the change.
func (c *Client) ChangeMembers(ctx context.Context, change MembershipChange) error {
	for {
		status, err := c.ReadStatus(ctx)
		if err != nil {
			return err
		}
		leader := status.Members[status.Leader]
		_, err = c.attempt(ctx, leader, groupRequest{method: http.MethodPost, path: pathMembers, body: change})
		var notLeader consensus.NotLeaderError
		switch {
		case errors.As(err, &notLeader):
		case errors.Is(err, consensus.ErrOutcomeUnknown):
			return c.awaitChange(ctx, change)
		default:
			return err
		}
		if err := sleepContext(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// awaitChange waits until the list of members shows a change.
func (c *Client) awaitChange(ctx context.Context, change MembershipChange) error {
	for {
		status, err := c.ReadStatus(ctx)
		if err != nil {
			return err
		}
		if change.isApplied(status.Members) {
			return nil
		}
		if err := sleepContext(ctx, retryInterval); err != nil {
			return fmt.Errorf("%w: %w", consensus.ErrOutcomeUnknown, err)
		}
	}
}

// isApplied reports whether a list of members, by ID, contains all added members and none of the removed ones.
func (m MembershipChange) isApplied(members map[uint64]string) bool {
	for id := range m.Add {
		if members[id] == "" {
			return false
		}
	}
	for _, id := range m.Remove {
		if members[id] != "" {
			return false
		}
	}
	return true
}

// sleepContext waits for a duration. If ctx ends first, it returns the error of ctx.
func sleepContext(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
