package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What a person at the command line sees: one plain line, and an error that ends the program with status 1.
func TestCommands(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"listen":"here"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args        string
		prints, err string
	}{
		{"version", "tulipglade ", ""},
		{"check --config ../../example/config.json", "ok: 3 classes, 3 tenants", ""},
		{"check --config " + bad, "", "listen: "},
		{"serve --config " + bad, "", "listen: "},
		{"check --config " + bad + ".none", "", "configuration: "},
	} {
		var out bytes.Buffer
		cmd := command()
		cmd.Writer = &out
		err := cmd.Run(context.Background(), append([]string{"tulipglade"}, strings.Fields(c.args)...))
		if !strings.HasPrefix(out.String(), c.prints) || (err == nil) != (c.err == "") ||
			err != nil && !strings.HasPrefix(err.Error(), c.err) || strings.Count(out.String(), "\n") > 1 {
			t.Errorf("%s: %q, %v, want %q, %q", c.args, out.String(), err, c.prints, c.err)
		}
	}
}
