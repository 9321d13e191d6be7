package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCommandsPrintOneLine checks that each sub-command prints a single line, or returns an error that begins with
// the field at fault, or with "configuration" if the file cannot be read.
func TestCommandsPrintOneLine(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "invalid.json")
	if err := os.WriteFile(invalid, []byte(`{"listen":"here"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args             string
		wantOut, wantErr string
	}{
		{"version", "tulipglade ", ""},
		{"check --config ../../example/config.json", "ok: 3 classes, 3 tenants", ""},
		{"check --config " + invalid, "", "listen: "},
		{"serve --config " + invalid, "", "listen: "},
		{"check --config " + invalid + ".none", "", "configuration: "},
	} {
		var output bytes.Buffer
		cmd := newCommand()
		cmd.Writer = &output
		err := cmd.Run(context.Background(), append([]string{"tulipglade"}, strings.Fields(c.args)...))
		if !strings.HasPrefix(output.String(), c.wantOut) || (err == nil) != (c.wantErr == "") ||
			err != nil && !strings.HasPrefix(err.Error(), c.wantErr) || strings.Count(output.String(), "\n") > 1 {
			t.Errorf("%s: %q, %v, want %q, %q", c.args, output.String(), err, c.wantOut, c.wantErr)
		}
	}
}
