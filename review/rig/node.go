package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"time"
)

// deployCommand returns a command of the project's deploy file.
func deployCommand(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
	}
	return string(match[1]), nil
}

// loopback is the loopback address on which all parts of this run listen. Each run draws its own, so that two runs at a
// time do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// nodeOptions are what the cases set of a node's configuration.
type nodeOptions struct {
	discovery    string
	known        list
	memoryMB     int
	index, count int // the node's number, and how many nodes there are
	zone         int
	site         string
}

// node is a process of the node, as the platform starts it.
type node struct {
	listen  string
	config  string // path of its configuration
	process *exec.Cmd
}

// configuration returns the configuration of a node of a small deployment.
func configuration(listen string, options nodeOptions) map[string]any {
	settings := kolkataSettings(options.index, options.count, options.zone)
	if options.site == siteDesks {
		changeToDesks(settings)
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", options.index), "listen": listen, "discovery": options.discovery,
		"seed":     fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": options.memoryMB, "sockets": 1024},
		"known":    options.known,
		"settings": settings,
	}
}

// kolkataSettings returns the settings of kolkata-rides, of the page on the simulator's wire.
func kolkataSettings(index, count, zone int) map[string]any {
	return map[string]any{
		"discovery": "ask", "me": index, "my_zone": zone, "peers_total": count, "zones": zones,
		"orgs": []any{
			map[string]any{"name": "kolkata-central", "share": 0.55, "quota_per_s": 139.0},
			map[string]any{"name": "siliguri", "share": 0.29, "quota_per_s": 73.0},
			map[string]any{"name": "asansol", "share": 0.16, "quota_per_s": 40.0},
		},
		"profiles": []any{
			map[string]any{"name": "map-read", "aim_us": 600000, "credit": 1.0, "deadline_us": 1500000, "effect": "repeatable", "key_scope": "all", "late_share": 0.0, "window_us": 5000000},
			map[string]any{"name": "ride-start", "aim_us": 1000000, "credit": 5.0, "deadline_us": 4000000, "effect": "once", "key_scope": "all", "late_share": 0.0, "window_us": 5000000},
			map[string]any{"name": "fare-settle", "aim_us": 1000000, "credit": 3.0, "deadline_us": 3000000, "effect": "by_key", "key_scope": "cell", "late_share": 0.0, "window_us": 6000000},
		},
		"limits": map[string]any{"max_attempts": 6, "may_duplicate": false, "cancelling": true, "probing": false, "retry_after": false,
			"max_open": 20000, "connect_timeout_us": 250000, "keepalive_us": 30000000, "multiplex": 1},
		"prices": map[string]any{"cross_zone": 0.03},
		"report": map[string]any{"fields": []string{"utilization", "backlog"}, "how": "piggyback"},
		"rules": map[string]any{"ask_every_us": 10000000, "cold_from": 0.13, "ramp_time_us": 24000000, "overload_factor": 3.0,
			"fall_us": 3000000, "drain_grace_us": 500000, "grace_to_answer_us": 20000},
		"specifics": map[string]any{"warm_keys": true}, "over_share_worth": 0.2, "worth_by": "request", "weights": "nominal", "tick_us": 5000,
	}
}

// The sites whose settings nodes get.
const (
	siteKolkata = "kolkata-rides"
	siteDesks   = "bratislava-desks"
)

// changeToDesks changes settings to what bratislava-desks has otherwise, as far as a node can tell: its classes, whose late
// answers keep a part of their worth, its tenants, attempts and rules.
func changeToDesks(settings map[string]any) {
	settings["orgs"] = []any{
		map[string]any{"name": "dunaj-offices", "share": 0.54, "quota_per_s": 54.0},
		map[string]any{"name": "tatra-space", "share": 0.37, "quota_per_s": 37.0},
		map[string]any{"name": "morava-desk", "share": 0.09, "quota_per_s": 9.0},
	}
	settings["profiles"] = []any{
		map[string]any{"name": "availability", "aim_us": 1200000, "credit": 5.0, "deadline_us": 5000000, "effect": "repeatable", "key_scope": "all", "late_share": 0.2, "window_us": 5000000},
		map[string]any{"name": "reservation", "aim_us": 800000, "credit": 15.0, "deadline_us": 2000000, "effect": "by_key", "key_scope": "all", "late_share": 0.2, "window_us": 1200000},
	}
	limits := settings["limits"].(map[string]any)
	limits["max_attempts"], limits["may_duplicate"], limits["retry_after"] = 3, true, true
	settings["rules"].(map[string]any)["drain_grace_us"] = 2000000
}

// startNode starts a node and waits until it is ready.
func (r *rig) startNode(options nodeOptions) (*node, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &node{listen: listen, config: filepath.Join(r.dir, fmt.Sprintf("config-%d.json", options.index))}
	text, err := json.MarshalIndent(configuration(listen, options), "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.config, text, 0o600); err != nil {
		return nil, err
	}
	if err := r.launch(n); err != nil {
		return nil, err
	}
	return n, r.awaitReady(n, 30*time.Second)
}

// launch starts the node's process with the command `run` of the deploy file.
func (r *rig) launch(n *node) error {
	command, err := deployCommand(r.root, "run")
	if err != nil {
		return err
	}
	n.process = exec.Command("/bin/sh", "-c", command)
	n.process.Dir = r.root
	n.process.Env = append(os.Environ(), "GW_CONFIG="+n.config, "TMPDIR="+r.dir)
	if err := r.start(n.process, filepath.Base(n.config)+".log"); err != nil {
		return err
	}
	r.record.add("node process %d started, listening on %s", n.process.Process.Pid, n.listen)
	return nil
}

var errNotReady = errors.New("the node was not ready in time")

// isReady asks the node whether it takes clients.
func isReady(address string) bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	return getStatus(ctx, "http://"+address+"/ready") == http.StatusOK
}

func getStatus(ctx context.Context, url string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (r *rig) awaitReady(n *node, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isReady(n.listen) {
			r.record.add("node process %d is ready", n.process.Process.Pid)
			return nil
		}
	}
	return errNotReady
}
