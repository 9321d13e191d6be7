// Package stats runs many simulations in parallel and adds up their results.
package stats

import (
	"context"
	"reflect"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// RunParallel calls play for the indexes below count, on all cores, and returns the results by index.
func RunParallel[T any](ctx context.Context, count int, play func(index int) T) ([]T, error) {
	results := make([]T, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = play(i)
			return nil
		})
	}
	return results, group.Wait()
}

// Add adds the numeric fields of a struct to those of a sum: fields of type int, which are counts, as they are, fields of
// type float64 times the weight.
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
