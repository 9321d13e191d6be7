package admin

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tulipglade/internal/fencing"
)

// errIncompleteLease is a call that names a lease, but not all that belongs to it.
var errIncompleteLease = errors.New("a call under a lease needs lease, seat and token")

// SeenTokens is the newest token that calls have presented for each lease, for the successor of this process.
func (s *Server) SeenTokens() []fencing.Grant {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fence.SeenTokens()
}

// RestoreTokens takes over what SeenTokens of the predecessor has returned.
func (s *Server) RestoreTokens(seen []fencing.Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fence.RestoreTokens(seen)
}

// parseGrant reads under which lease a call is made, if any: lease=NAME&seat=N&token=N, in any order, among anything else.
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

// beginUnderLease admits a call unless its token is stale. The caller must call end once the call can have no more effect.
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
