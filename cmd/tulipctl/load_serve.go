package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/fake"
	"tulipglade/internal/loopback"
)

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` on loopback"}
}

func nullServerCommand() *cli.Command {
	return &cli.Command{
		Name:   "null",
		Usage:  "serve a backend that answers immediately, until interrupted",
		Action: serveNull,
		Flags:  []cli.Flag{listenFlag()},
	}
}

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:   "proxy",
		Usage:  "serve Go's reverse proxy over random backends as a baseline, until interrupted",
		Action: serveProxy,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{Name: "backend", Required: true, Usage: "`ADDRESS` of a backend, repeatable"},
		},
	}
}

func serveNull(ctx context.Context, cmd *cli.Command) error {
	n, err := fake.StartNullServer(cmd.String("listen"), nil, nil)
	if err != nil {
		return err
	}
	writeln(cmd.Root().Writer, n.Addr())
	<-ctx.Done()
	n.Close()
	return nil
}

func serveProxy(ctx context.Context, cmd *cli.Command) error {
	listen := cmd.String("listen")
	var backends []*url.URL
	for _, a := range append(cmd.StringSlice("backend"), listen) {
		if err := loopback.Check(a); err != nil {
			return err
		}
		backends = append(backends, &url.URL{Scheme: "http", Host: a})
	}
	backends = backends[:len(backends)-1] // the last URL is the listen address, which is only checked
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost, transport.MaxIdleConns = 1024, 4096
	proxy := &httputil.ReverseProxy{
		Transport: transport,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(backends[rand.IntN(len(backends))]) },
	}
	listener, err := fake.Listen(listen)
	if err != nil {
		return err
	}
	writeln(cmd.Root().Writer, listener.Addr())
	server := &http.Server{Handler: proxy, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close() // Serve then returns http.ErrServerClosed
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
