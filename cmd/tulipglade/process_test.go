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

// Environment variables that a test sets for the processes that it starts.
const (
	// envConfigPath is the path of a configuration file. If it is set, the test binary runs the program with this file.
	envConfigPath = "TULIPGLADE_TEST_RUN"
	// envMaxDescriptors is a limit of open file descriptors that replaces maxDescriptors.
	envMaxDescriptors = "TULIPGLADE_TEST_FILES"
)

// maxDescriptors is the limit of open file descriptors of each process that a test starts.
const maxDescriptors = 96

// TestMain runs the tests, or the program itself in a process that a test has started with envConfigPath set.
func TestMain(m *testing.M) {
	path := os.Getenv(envConfigPath)
	if path == "" {
		os.Exit(m.Run())
	}
	if err := runProgram(path); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err) // the exit status reports the failure even if this write fails
		os.Exit(1)
	}
}

// runProgram runs the serve command under a limit of open file descriptors, because the platform sets such a limit too.
func runProgram(configPath string) error {
	limit := uint64(intFromEnvironment(envMaxDescriptors, maxDescriptors))
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	return newCommand().Run(context.Background(), []string{"tulipglade", "serve", "--config", configPath})
}

// intFromEnvironment returns the integer in an environment variable, or the default if it is unset or not an integer.
func intFromEnvironment(name string, defaultValue int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return defaultValue
}

// programCommand returns a command that runs the program with a configuration file, by starting the test binary again
// with envConfigPath and the given variables added to its environment.
func programCommand(configPath string, environment ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envConfigPath+"="+configPath)
	cmd.Env = append(cmd.Env, environment...)
	return cmd
}

// outputBuffer collects the output of a process. It is safe for concurrent use.
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

// process runs the program in an operating system process of its own. It can be started again after it has ended.
type process struct {
	configPath string
	cmd        *exec.Cmd
	output     *outputBuffer
	ended      chan struct{} // closed when the process has ended
	exitErr    error         // valid once ended is closed
}

// newProcess writes the configuration to a file and returns a process that uses it. The process is not started yet.
func newProcess(t *testing.T, config string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return &process{configPath: path}
}

// start starts the process with additional environment variables and empties the collected output.
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

// wait waits until the process ends and returns the error of its exit, or nil if its exit status is 0.
func (p *process) wait() error {
	<-p.ended
	return p.exitErr
}

// kill sends SIGKILL to the process and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has already ended
	<-p.ended
}

var (
	servingLine    = regexp.MustCompile(`msg=serving.*`)
	listenField    = regexp.MustCompile(` listen=(\S+)`)
	adminField     = regexp.MustCompile(` operator=(\S+)`)
	startupTimeout = 30 * time.Second
)

// awaitServing waits for the line that the process logs when it begins to serve, and returns the addresses in it: the
// one for clients, and the admin address, which is empty if none is configured. It returns false if the line does not
// appear within the timeout.
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

// clientAddress waits until the process serves and returns the address for clients.
func (p *process) clientAddress(t *testing.T) string {
	t.Helper()
	address, _, ok := p.awaitServing(startupTimeout)
	if !ok {
		t.Fatalf("the process does not serve: %s", p.output)
	}
	return address
}

// nodeConfig holds the settings that differ between the nodes of a test. All others are fixed in configJSON.
type nodeConfig struct {
	index, fleetSize int
	discovery        string            // address
	endpoints        map[string]string // addresses by UID
	class            string            // JSON form of the only request class
	connectTimeout   time.Duration
	pollInterval     time.Duration
}

// readClass is the JSON form of a class of idempotent requests.
const readClass = `{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}`

// configJSON returns the content of the node's configuration file.
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
