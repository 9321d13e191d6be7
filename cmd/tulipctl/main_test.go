package main

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tulipctl": func() { os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
		// status COMMAND... prints the exit status of tulipctl, so that a script can tell 1 from 2.
		"status": func() {
			code := run(context.Background(), append([]string{"tulipctl"}, os.Args[1:]...), os.Stdout, os.Stderr)
			os.Stdout.WriteString("status " + string(rune('0'+code)) + "\n")
		},
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
