package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// The case late-slots: an operator lets two hold a lease, and then one again. The first attempt of the first call reaches
// the agent late, when its repetition and the second call have been answered. Then two want the lease.
const (
	lateBy       = 1500 * time.Millisecond
	lateSlots    = `"most":2` // in the call that is late
	settledAfter = 3 * time.Second
)

func playLateSlots(r *rig) (bool, error) {
	agents, err := r.startAgents(3)
	if err != nil {
		return false, err
	}
	leader, err := r.leader(agents)
	if err != nil {
		return false, err
	}
	proxy, err := r.startProxy(leader)
	if err != nil {
		return false, err
	}
	for _, slots := range []string{"2", "1"} {
		out, err := r.tulipctl([]string{proxy}, "lease", "slots", "job", slots)
		if err != nil {
			return false, fmt.Errorf("tulipctl lease slots job %s: %w", slots, err)
		}
		r.record.say("tulipctl lease slots job %s: status 0 %s", slots, bytes.TrimSpace(out))
	}
	r.recordLeases(agents)
	time.Sleep(settledAfter)
	r.recordLeases(agents)
	actsFile := filepath.Join(r.dir, "acts")
	defer func() { endWorkers(readActs(actsFile)) }()
	if err := r.startHolder(agents, "first", actsFile, "lease", "run", "job"); err != nil {
		return false, err
	}
	if err := awaitAct(actsFile, "first", 15*time.Second); err != nil {
		return false, err
	}
	if err := r.startHolder(agents, "second", actsFile, "lease", "run", "--wait", "60s", "job"); err != nil {
		return false, err
	}
	if err := awaitAct(actsFile, "second", 50*time.Second); err != nil {
		return false, err
	}
	time.Sleep(secondWork)
	r.recordLeases(agents)
	return r.checkActs(readActs(actsFile)), nil
}

// recordLeases records what the group says of its leases.
func (r *rig) recordLeases(agents []string) {
	out, err := r.tulipctl(agents, "lease", "list")
	r.record.add("tulipctl lease list: %s, %v", strings.Join(strings.Fields(string(out)), " "), err)
}

// startProxy starts a proxy before an agent, and returns its address. With the disruption, the first message that sets
// two slots is late by lateBy; all else passes at once.
func (r *rig) startProxy(agent string) (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	var late atomic.Bool
	late.Store(!r.trouble)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", agent)
			if err != nil {
				_ = client.Close()
				continue
			}
			go r.pass(client, server, &late)
			go func() {
				_, _ = io.Copy(client, server)
				_ = client.Close()
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// pass passes on what a client sends to an agent, up to the end of the connection. What has been sent arrives also if the
// client has closed the connection meanwhile.
func (r *rig) pass(client, server net.Conn, late *atomic.Bool) {
	defer func() { _ = server.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			time.Sleep(lateBy) // the agent answers what has arrived
			return
		}
		if bytes.Contains(buffer[:n], []byte(lateSlots)) && !late.Swap(true) {
			r.record.say("the network holds a message that sets two slots")
			time.Sleep(lateBy)
			r.record.say("the message arrives, %v late", lateBy)
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}
