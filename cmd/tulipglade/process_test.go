package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Environment variables between a test and the program that it starts.
const (
	envConfigPath     = "TULIPGLADE_TEST_RUN"   // the test's executable is the program, with this configuration file
	envMaxDescriptors = "TULIPGLADE_TEST_FILES" // instead of maxDescriptors
)

// maxDescriptors is how many descriptors each process of a test may hold.
const maxDescriptors = 96

// TestMain is the program itself where a test has started it as one.
func TestMain(m *testing.M) {
	path := os.Getenv(envConfigPath)
	if path == "" {
		os.Exit(m.Run())
	}
	if err := runProgram(path); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err) // the exit status tells it too
		os.Exit(1)
	}
}

// runProgram serves under a limit of descriptors, as the platform sets one.
func runProgram(configPath string) error {
	limit := uint64(intFromEnvironment(envMaxDescriptors, maxDescriptors))
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	return newCommand().Run(context.Background(), []string{"tulipglade", "serve", "--config", configPath})
}

// intFromEnvironment returns the number in an environment variable, or the default where there is none.
func intFromEnvironment(name string, defaultValue int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return defaultValue
}

// programCommand returns the command that runs the program with a configuration file.
func programCommand(configPath string, environment ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envConfigPath+"="+configPath)
	cmd.Env = append(cmd.Env, environment...)
	return cmd
}

// outputBuffer collects what a process writes.
type outputBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *outputBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

func (b *outputBuffer) contains(phrase string) bool { return strings.Contains(b.String(), phrase) }

// process is the program, started by a test. It may be started again once it has ended.
type process struct {
	configPath string
	cmd        *exec.Cmd
	output     *outputBuffer
	ended      chan struct{} // closed when the process has ended
	exitErr    error         // valid once ended is closed
}

// newProcess returns a process, not yet started, with a configuration.
func newProcess(t *testing.T, config string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return &process{configPath: path}
}

func (p *process) start(t *testing.T, environment ...string) {
	t.Helper()
	p.cmd = programCommand(p.configPath, environment...)
	p.output = &outputBuffer{}
	p.cmd.Stderr = p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		p.exitErr = p.cmd.Wait()
		close(ended)
	}()
}

// wait waits for the end of the process and returns how it ended.
func (p *process) wait() error {
	<-p.ended
	return p.exitErr
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
}

var (
	servingLine    = regexp.MustCompile(`msg=serving.*`)
	listenField    = regexp.MustCompile(` listen=(\S+)`)
	adminField     = regexp.MustCompile(` operator=(\S+)`)
	startupTimeout = 30 * time.Second
)

// awaitServing returns the addresses of clients and of operators, from the line that the process logs when it serves. It
// returns false where there is no such line within the timeout.
func (p *process) awaitServing(timeout time.Duration) (clientAddress, adminAddress string, ok bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		line := servingLine.FindString(p.output.String())
		if found := listenField.FindStringSubmatch(line); found != nil {
			clientAddress = found[1]
			if found := adminField.FindStringSubmatch(line); found != nil {
				adminAddress = found[1]
			}
			return clientAddress, adminAddress, true
		}
	}
	return "", "", false
}

// clientAddress is where clients reach the process, once it serves.
func (p *process) clientAddress(t *testing.T) string {
	t.Helper()
	address, _, ok := p.awaitServing(startupTimeout)
	if !ok {
		t.Fatalf("it does not serve: %s", p.output)
	}
	return address
}

// nodeConfig is what differs between the configurations of the nodes of a test fleet.
type nodeConfig struct {
	index, fleetSize int
	discovery        string
	endpoints        map[string]string // addresses by UID
	class            string            // the JSON form of the one class of requests
	connectTimeout   time.Duration
	pollInterval     time.Duration
}

// A class of requests that may be repeated.
const readClass = `{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}`

// configJSON returns the configuration in its JSON form.
func (c nodeConfig) configJSON() string {
	var targets []string
	for _, uid := range slices.Sorted(maps.Keys(c.endpoints)) {
		targets = append(targets, fmt.Sprintf(
			`{"uid":%q,"endpoint":%q,"az":"z","state":"in_service","capacity_hint":1}`, uid, c.endpoints[uid]))
	}
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"known":{"rev":4,"all":true,"targets":[%s]},
		"settings":{"discovery":"ask","me":%d,"peers_total":%d,"zones":["z"],"orgs":[{"name":"t","share":1}],"tick_us":5000,
		"profiles":[%s],
		"limits":{"connect_timeout_us":%d,"keepalive_us":30000000,"max_attempts":3,"max_open":20000},
		"rules":{"ask_every_us":%d,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`,
		c.index, c.discovery, maxDescriptors, strings.Join(targets, ","), c.index, c.fleetSize, c.class,
		c.connectTimeout.Microseconds(), c.pollInterval.Microseconds())
}
