package protocol

import (
	"testing"

	"github.com/cespare/xxhash/v2"
)

func TestAffinityKey(t *testing.T) {
	for _, c := range []struct {
		name, target string
		obj          string // value that must be hashed; "" if the key must be 0
	}{
		{"alone", "/read?obj=7f3a", "7f3a"},
		{"among others", "/read?a=1&obj=7f3a&b=2", "7f3a"},
		{"first of two", "/read?obj=1&obj=2", "1"},
		{"no query", "/read", ""},
		{"other names", "/read?object=7&xobj=7", ""},
		{"empty", "/read?obj=&x", ""},
		{"in the path alone", "/obj=7", ""},
		{"with signs of its own", "/read?obj=a=b%26?c", "a=b%26?c"},
	} {
		want := uint64(0)
		if c.obj != "" {
			want = xxhash.Sum64String(c.obj)
		}
		if got := AffinityKey([]byte(c.target)); got != want {
			t.Errorf("%s: %x, want %x", c.name, got, want)
		}
	}
}
