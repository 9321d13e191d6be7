package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/fake"
	"tulipglade/internal/simulation/scenario"
)

func recordTraceCommand() *cli.Command {
	return &cli.Command{
		Name:      "record",
		Usage:     "make a trace of a cluster's event log",
		Arguments: fileArguments(),
		ArgsUsage: "LOG",
		Action:    recordTrace,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Required: true, Usage: "`SCENARIO` of the cluster"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the trace, gzipped if it ends in .gz"},
		},
	}
}

func recordTrace(_ context.Context, cmd *cli.Command) error {
	name, err := fileArgument(cmd)
	if err != nil {
		return err
	}
	sc, err := scenario.Read(cmd.String("scenario"))
	if err != nil {
		return err
	}
	in, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }() // a file opened for reading has no unsaved data
	w, done, err := createOutputFile(cmd.String("out"))
	if err != nil {
		return err
	}
	n, err := fake.WriteTrace(in, w, sc)
	if err := errors.Join(err, done()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	writef(cmd.Root().Writer, "%d calls\n", n)
	return nil
}
