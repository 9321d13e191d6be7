// Package stats runs many simulations in parallel and sums their results.
package stats

import (
	"context"
	"reflect"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// RunParallel calls run for every index from 0 to count-1, with at most GOMAXPROCS calls at a time, and returns the
// results in the order of the indexes. If ctx is canceled, it starts no further calls and returns the error of the
// context.
func RunParallel[T any](ctx context.Context, count int, run func(index int) T) ([]T, error) {
	results := make([]T, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = run(i)
			return nil
		})
	}
	return results, group.Wait()
}

// Add adds the numeric fields of the struct added to the same fields of sum. Fields of type int are counts and are
// added unchanged; fields of type float64 are multiplied by the weight first. Fields of other types are ignored.
func Add[T any](sum *T, added T, weight float64) {
	into, from := reflect.ValueOf(sum).Elem(), reflect.ValueOf(added)
	for i := range from.NumField() {
		field := into.Field(i)
		switch field.Kind() {
		case reflect.Int:
			field.SetInt(field.Int() + from.Field(i).Int())
		case reflect.Float64:
			field.SetFloat(field.Float() + weight*from.Field(i).Float())
		}
	}
}
