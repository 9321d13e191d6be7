package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/failoversim"
)

func simulateFailover(ctx context.Context, cmd *cli.Command) error {
	n, without, err := scheduleFlags(cmd, map[string]failoversim.Without{"": {}, "token": {Token: true}, "rate": {Rate: true}, "fade": {Fade: true}, "plans": {Plans: true}})
	if err != nil {
		return err
	}
	o, err := failoversim.Many(ctx, cmd.Uint64("seed"), n, without)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, o); err != nil {
			return err
		}
	} else {
		t := table(cmd)
		for _, l := range []struct {
			what string
			n    int
		}{{"schedules", o.Schedules}, {"events", o.Events}, {"plans", o.Plans}, {"directors", o.Directors}, {"schedules in which all directors die", o.Died},
			{"plans refused, as a newer one was held", o.Rejected}, {"changes of direction", o.Turns}, {"PLANS TAKEN AFTER NEWER ONES", o.Backwards},
			{"ZONES THAT WERE TO GROW FASTER THAN ALLOWED", o.Jumps}, {"PLANS THAT LOST THEIR SAY AT ONCE", o.Cliffs}} {
			fmt.Fprintf(t, "%s\t%d\n", l.what, l.n)
		}
		fmt.Fprintf(t, "worth served, of the optimum's, from 10 s after an event on\t%.4f\n", o.ServedValue)
		fmt.Fprintf(t, "the same over all the time\t%.4f\n", o.Whole)
		fmt.Fprintf(t, "the same when all directors have died\t%.4f\n", o.Alone)
		fmt.Fprintf(t, "sent over an edge from 10 s after an event on, and what the optimum sends\t%.4f, %.4f\n", o.Crossing, o.Needed)
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if o.Broken() > 0 {
		return negativeAnswer("what must hold is broken %d times, first by schedule %d", o.Broken(), o.First)
	}
	return nil
}
