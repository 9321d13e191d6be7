package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid command line must fail with a one-line error that names the flag, or states the problem of the folder. The
// check command must print the identity of the member in a folder.
func TestCommandLineErrorsNameTheFlag(t *testing.T) {
	existing := filepath.Join(t.TempDir(), "existing")
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := command()
		c.Writer, c.ErrWriter = &out, &out
		err := c.Run(t.Context(), append([]string{"tulipagent"}, args...))
		return out.String(), err
	}
	if _, err := run("init", "--dir", existing, "--id", "1", "--member", "1=127.0.0.1:7101"); err != nil {
		t.Fatal(err)
	}
	if out, err := run("check", "--dir", existing); err != nil || !strings.Contains(out, "member 1 of tulipglade at 127.0.0.1:7101") {
		t.Errorf("%q %v", out, err)
	}
	empty := t.TempDir()
	for _, c := range []struct{ args, want string }{
		{"init --dir D --id 1 --member 127.0.0.1:1", "--member"},
		{"init --dir D --id 1 --member 0=127.0.0.1:1", "--member"},
		{"init --dir D --id 1 --member 1=127.0.0.1:1 --member 1=127.0.0.1:2", "--member"},
		{"init --dir D --id 1 --member 1=10.0.0.1:1", "--member: \"10.0.0.1:1\": not a loopback address"},
		{"init --dir D --id 1 --member 1=127.0.0.1:0", "--member"},
		{"init --dir D --id 2 --member 1=127.0.0.1:1", "--id"},
		{"init --dir D --id 1 --member 1=127.0.0.1:1 --interval 1ms", "--interval"},
		{"init --dir D --id 1 --member 1=127.0.0.1:1 --drift 0.5", "--drift"},
		{"join --dir D --id 0 --address 127.0.0.1:1", "--id"},
		{"join --dir D --id 4 --address host:1", "--address"},
		{"serve --dir D", "no member in this folder"},
		{"serve --dir D --topology none.toml", "--topology"},
		{"serve --dir D --topology ../../deploy/topology.example.toml", "no member in this folder"},
		{"check --dir D", "no member in this folder"},
		{"init --dir " + existing + " --id 1 --member 1=127.0.0.1:7101", "already contains a member"},
		{"join --dir " + existing + " --id 4 --address 127.0.0.1:1", "already contains a member"},
	} {
		_, err := run(strings.Fields(strings.ReplaceAll(c.args, " D ", " "+empty+" "))...)
		if strings.HasSuffix(c.args, " D") {
			_, err = run(append(strings.Fields(strings.TrimSuffix(c.args, " D")), empty)...)
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", c.args, err, c.want)
		}
	}
}
