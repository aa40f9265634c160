package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/logger"
	"gentianstep.example/gentianstep/internal/operating/starter"
	"gentianstep.example/gentianstep/internal/streaming/bounder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/verifier"
	"gentianstep.example/gentianstep/platform"
)

func newGatewayCommand() command {
	path := os.Getenv(platform.SettingsVariable)
	parser := flaggy.NewSubcommand("gateway")
	parser.Description = "Serve clients on the users' platform."
	parser.String(&path, "s", "settings", "Path of the platform's settings file ("+platform.SettingsVariable+").")
	return command{parser: parser, run: func(ctx context.Context) error {
		// Without a receiver, the signal would end the process, also while it starts
		// and while it stops.
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		if err := requireFlag("settings", path, "the path of a file"); err != nil {
			return err
		}
		settings, err := platform.LoadSettings(path)
		if err != nil {
			return err
		}
		ring := logger.NewAsyncWriter(os.Stdout)
		logCtx, stopRing := context.WithCancel(context.WithoutCancel(ctx))
		go ring.Run(logCtx)
		defer func() {
			stopRing()
			ring.Wait()
		}()
		log, err := logger.New(logger.Config{
			Output:  ring,
			Format:  "json",
			Level:   "info",
			Node:    settings.Node,
			Process: "gateway",
		})
		if err != nil {
			return err
		}
		logger.RedirectStandard(log)
		return starter.RunGateway(ctx, settings, starter.Platform{
			Codec:          platform.Codec{},
			Dialect:        platform.Dialect{},
			OperatorPrefix: platform.OperatorPrefix,
			UpstreamPrefix: platform.UpstreamPrefix,
			ReadyPath:      platform.ReadyPath,
			Reload:         reload,
			LoadSettings:   func() (*configurer.VMSettings, error) { return platform.LoadSettings(path) },
			NewStore: func(address netip.AddrPort, client *http.Client, bodies *bounder.Bounder) starter.Store {
				return platform.NewClient(platform.ClientConfig{Address: address, HTTPClient: client, Bodies: bodies})
			},
			NewEngineClient: func(client, orders *http.Client, n *noticer.Noticer, bodies *bounder.Bounder) starter.EngineClient {
				return platform.EngineClient{HTTPClient: client, OrderClient: orders, Noticer: n, Bodies: bodies}
			},
			NewHealthClient: func(client *http.Client, n *noticer.Noticer, path func(service string) string) verifier.Checker {
				return platform.HealthClient{HTTPClient: client, Noticer: n, Path: path}
			},
		}, log)
	}}
}
