package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tulipglade/internal/agent"
	"tulipglade/internal/deadlineexec"
	"tulipglade/internal/loopback"
)

func TestMain(m *testing.M) {
	deadlineexec.RunSupervisor(agent.Clock)
	testscript.Main(m, map[string]func(){
		"tulipctl": func() { os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
		// status COMMAND... prints the exit status of tulipctl, so that a script can distinguish exit status 1 from 2.
		"status": func() {
			code := run(context.Background(), append([]string{"tulipctl"}, os.Args[1:]...), os.Stdout, os.Stderr)
			fmt.Printf("status %d\n", code)
		},
	})
}

// buildNode builds the tulipglade binary in a temporary directory and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	node := filepath.Join(t.TempDir(), "tulipglade")
	if out, err := exec.Command("go", "build", "-o", node, "../tulipglade").CombinedOutput(); err != nil {
		t.Fatalf("building the tulipglade binary: %v\n%s", err, out)
	}
	return node
}

func TestScripts(t *testing.T) {
	node := buildNode(t)
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(env *testscript.Env) error {
		addrs, err := loopback.FreeAddresses(loopback.Host, 1)
		if err != nil {
			return err
		}
		env.Setenv("NODE", node)
		env.Setenv("NULL", addrs[0])
		return nil
	}})
}
