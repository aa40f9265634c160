package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/explainer"
	"gentianstep.example/gentianstep/internal/operating/starter"
)

// explainTimeout limits the request to one router.
const explainTimeout = 5 * time.Second

// explainOptions are the flags of the explain subcommand.
type explainOptions struct {
	requestID string
	settings  string
	addresses []string
	logPath   string
	asJSON    bool
}

func newExplainCommand() command {
	o := explainOptions{settings: defaultSettingsPath}
	parser := flaggy.NewSubcommand("explain")
	parser.Description = "Show the routing decisions taken for a request."
	parser.AddPositionalValue(&o.requestID, "REQUEST_ID", 1, true, "Id of the request, from the header X-Request-Id of its answer.")
	parser.String(&o.settings, "s", "settings", "Path of the settings file that names this VM's router.")
	parser.StringSlice(&o.addresses, "a", "address", "Operator address of a router to ask instead; may be repeated.")
	parser.String(&o.logPath, "l", "log", "Path of a router's log to read instead.")
	parser.Bool(&o.asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		found, err := o.findDecisions(ctx)
		if err != nil {
			return err
		}
		if len(found) == 0 {
			return classifier.New(classifier.NotFound, "no decision for request %s is kept", o.requestID)
		}
		if o.asJSON {
			return printJSON(found)
		}
		for i, d := range found {
			if i > 0 {
				fmt.Println()
			}
			if err := d.Write(os.Stdout); err != nil {
				return err
			}
		}
		return nil
	}}
}

func (o explainOptions) findDecisions(ctx context.Context) ([]explainer.Decision, error) {
	if o.logPath != "" {
		file, err := os.Open(o.logPath)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = file.Close() }()
		return explainer.FindInLog(file, o.requestID)
	}
	addresses, err := o.parseAddresses()
	if err != nil {
		return nil, err
	}
	return o.fetchFromRouters(ctx, addresses)
}

// parseAddresses parses the router addresses given with --address.
func (o explainOptions) parseAddresses() ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range o.addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, classifier.New(classifier.InvalidRequest, "--address: got %q, want an IP number and a port", text)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// fetchFromRouters fetches the decisions from the routers at addresses, or from
// this VM's router if addresses is empty.
func (o explainOptions) fetchFromRouters(ctx context.Context, addresses []netip.AddrPort) ([]explainer.Decision, error) {
	settings, err := configurer.Load(o.settings)
	if err != nil {
		return nil, err
	}
	client, err := starter.NewOperatorClient(settings)
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		addresses = []netip.AddrPort{settings.Router.OperatorAddress}
	}
	var found []explainer.Decision
	for _, address := range addresses {
		decisions, err := fetchDecisions(ctx, client, address, o.requestID)
		if err != nil {
			return nil, err
		}
		found = append(found, decisions...)
	}
	return found, nil
}

func fetchDecisions(ctx context.Context, client *http.Client, address netip.AddrPort, requestID string) ([]explainer.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	return explainer.FetchDecisions(ctx, client, address, requestID)
}
