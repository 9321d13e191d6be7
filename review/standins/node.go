package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// nodeOptions are the parts of a node's configuration that cases change.
type nodeOptions struct {
	memoryMB, sockets int
}

// node is one process of the project, started with the deploy file's command.
type node struct {
	command             *exec.Cmd
	listen, directory   string
	configFile, logFile string
	exited              chan struct{}
}

// object is a JSON object.
type object = map[string]any

// configuration returns a node's configuration as the platform writes it, for a small deployment.
func configuration(listen, discovery string, known list, o nodeOptions) object {
	return object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"known":  known,
		"settings": object{
			"discovery": "ask", "me": 0, "my_zone": 0, "peers_total": 1,
			"zones": []string{"salt-lake", "howrah", "durgapur"},
			"orgs": []object{
				{"name": "kolkata-central", "share": 0.55, "quota_per_s": 139.0},
				{"name": "siliguri", "share": 0.29, "quota_per_s": 73.0},
				{"name": "asansol", "share": 0.16, "quota_per_s": 40.0},
			},
			"profiles": []object{
				{"name": "map-read", "aim_us": 600000, "credit": 1.0, "deadline_us": 1500000, "effect": "repeatable",
					"key_scope": "all", "late_share": 0.0, "stream": false, "window_us": 5000000},
				{"name": "ride-start", "aim_us": 1000000, "credit": 5.0, "deadline_us": 4000000, "effect": "once",
					"key_scope": "all", "late_share": 0.0, "stream": false, "window_us": 5000000},
				{"name": "fare-settle", "aim_us": 1000000, "credit": 3.0, "deadline_us": 3000000, "effect": "by_key",
					"key_scope": "cell", "late_share": 0.0, "stream": false, "window_us": 6000000},
			},
			"clients":          object{"marks_retry": false},
			"over_share_worth": 0.2, "worth_by": "request", "weights": "nominal",
			"limits": object{"max_attempts": 6, "may_duplicate": false, "cancelling": true, "probing": false,
				"retry_after": false, "max_open": 20000, "connect_timeout_us": 250000, "keepalive_us": 30000000,
				"peers": false, "multiplex": 1, "max_retry_after_us": 2000000, "cpu_us_per_s": 20000},
			"prices": object{"cross_zone": 0.03},
			"report": object{"fields": []string{"utilization", "backlog"}, "how": "piggyback"},
			"rules": object{"ask_every_us": 10000000, "cold_from": 0.13, "ramp_time_us": 24000000, "overload_factor": 3.0,
				"fall_us": 3000000, "drain_grace_us": 500000, "grace_to_answer_us": 20000},
			"specifics": object{"warm_keys": true},
			"tick_us":   5000, "tier": 0, "layers": []string{"ride-app"}, "kinds": []string{"new-rack", "old-rack"},
		},
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// deployCommand returns the deploy file's command for a real node.
func deployCommand() string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			return rest[:strings.Index(rest, `"`)]
		}
	}
	must(fmt.Errorf("deploy/balancer.toml has no line run"))
	return ""
}

// startNode writes the configuration and starts a node with the deploy file's command, from the repository's root.
func startNode(directory, discovery string, known list, o nodeOptions) *node {
	n := &node{listen: freeAddress(), directory: directory, exited: make(chan struct{})}
	n.configFile = filepath.Join(directory, "node.json")
	n.logFile = filepath.Join(directory, "node.log")
	raw, err := json.MarshalIndent(configuration(n.listen, discovery, known, o), "", " ")
	must(err)
	must(os.WriteFile(n.configFile, raw, 0o600))
	n.start()
	return n
}

// start starts the process and waits until it is ready.
func (n *node) start() {
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	temporary := filepath.Join(n.directory, "tmp")
	must(os.MkdirAll(temporary, 0o700))
	n.command = exec.Command("/bin/sh", "-c", deployCommand())
	n.command.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+n.listen, "GW_CONFIG="+n.configFile, "TMPDIR="+temporary)
	n.command.Stdout, n.command.Stderr = log, log
	must(n.command.Start())
	atExit(func() { _ = n.command.Process.Kill() })
	command := n.command
	exited := make(chan struct{})
	n.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return
		}
	}
	must(fmt.Errorf("the node was not ready within 30 s"))
}

// ready reports whether the node answers yes to GET /ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.listen + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}
