// Package stats plays many schedules and adds up what they show.
package stats

import (
	"context"
	"reflect"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Play plays so many, on all cores, and returns what each has shown.
func Play[T any](ctx context.Context, n int, play func(i int) T) ([]T, error) {
	all := make([]T, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range all {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			all[i] = play(i)
			return nil
		})
	}
	return all, g.Wait()
}

// Add adds a struct's fields to those of a sum: counts as they are, other numbers by the weight. Fields of type int are counts.
func Add[T any](sum *T, of T, weight float64) {
	into, from := reflect.ValueOf(sum).Elem(), reflect.ValueOf(of)
	for i := range from.NumField() {
		switch from.Type().Field(i).Type.Kind() {
		case reflect.Int:
			into.Field(i).SetInt(into.Field(i).Int() + from.Field(i).Int())
		case reflect.Float64:
			into.Field(i).SetFloat(into.Field(i).Float() + weight*from.Field(i).Float())
		}
	}
}
