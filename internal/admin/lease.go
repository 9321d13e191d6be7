package admin

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tulipglade/internal/fencing"
)

// errIncompleteLease rejects a call whose query has some of the lease parameters but lacks the lease or the token, or
// has an invalid value.
var errIncompleteLease = errors.New("a call under a lease needs lease, seat and token")

// SeenTokens returns the newest token that calls have presented for each slot of a lease. A hot restart hands them to
// the successor.
func (s *Server) SeenTokens() []fencing.Grant {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fence.SeenTokens()
}

// RestoreTokens restores the tokens that SeenTokens of the predecessor has returned.
func (s *Server) RestoreTokens(seen []fencing.Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fence.RestoreTokens(seen)
}

// parseGrant parses the lease, if any, under which a call is made. The query gives it as lease=NAME&seat=N&token=N, in
// any order and among other parameters; a missing seat is slot 0. present reports whether the query names a lease or a
// token.
func parseGrant(query string) (grant fencing.Grant, present bool, err error) {
	var slot, token string
	for part := range strings.SplitSeq(query, "&") {
		switch key, value, _ := strings.Cut(part, "="); key {
		case "lease":
			grant.Name, present = value, true
		case "seat":
			slot = value
		case "token":
			token, present = value, true
		}
	}
	if !present {
		return grant, false, nil
	}
	number, err := strconv.ParseUint(token, 10, 64)
	if err == nil && slot != "" {
		grant.Slot, err = strconv.Atoi(slot)
	}
	if err != nil || number == 0 || grant.Name == "" || grant.Slot < 0 {
		return grant, true, errIncompleteLease
	}
	grant.Token = fencing.Token(number)
	return grant, true, nil
}

// beginUnderLease admits a call unless it names a lease with a stale token, or a call with an older token may still
// take effect. If the call is admitted, the caller must call end once it can have no further effect.
func (s *Server) beginUnderLease(query string) (end func(), err error) {
	grant, present, err := parseGrant(query)
	if err != nil || !present {
		return func() {}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.fence.Begin(grant); err != nil {
		return nil, fmt.Errorf("lease %s, token %d: %w", grant.Name, grant.Token, err)
	}
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.fence.End(grant)
	}, nil
}
