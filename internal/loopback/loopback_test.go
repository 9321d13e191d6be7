package loopback

import (
	"errors"
	"testing"
)

func TestCheck(t *testing.T) {
	for _, address := range []string{"127.0.0.1:80", "127.8.9.1:1", "[::1]:0"} {
		if err := Check(address); err != nil {
			t.Errorf("%s: %v", address, err)
		}
	}
	for _, address := range []string{"0.0.0.0:80", "192.0.2.1:80", "[2001:db8::1]:80", "localhost:80", ":80"} {
		if err := Check(address); !errors.Is(err, ErrNotLoopback) {
			t.Errorf("%s: %v, want ErrNotLoopback", address, err)
		}
	}
	if err := Check("127.0.0.1"); err == nil || errors.Is(err, ErrNotLoopback) {
		t.Errorf("without a port: %v", err)
	}
}
