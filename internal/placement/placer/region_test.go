package placer_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/placer"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	region   = "jhb-a"
	maxLoads = 2
)

// row is a region of engines and what happens to it.
type row struct {
	Name              string `json:"name"`
	Engines           int    `json:"engines"`
	ChecksFencing     bool   `json:"checks_fencing"`
	IgnoresConditions bool   `json:"ignores_conditions"`
	LoseAnswers       bool   `json:"lose_answers"`
	Steps             []step `json:"steps"`
}

// sender sends orders, and can hold one back or lose its answer.
type sender struct {
	orders *orderer.Orderer
	client *http.Client
	lose   bool

	mu     sync.Mutex
	frozen chan struct{}
	late   []string
}

func (s *sender) Send(ctx context.Context, address netip.AddrPort, m orderer.Message) (planner.Outcome, error) {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen != nil {
		<-frozen
		return s.sendLate(address, m)
	}
	outcome, err := s.orders.Send(ctx, address, m)
	if s.lose {
		return planner.Unknown, errors.New("answer lost")
	}
	return outcome, err
}

// sendLate sends an order that was under way while its sender was frozen.
func (s *sender) sendLate(address netip.AddrPort, m orderer.Message) (planner.Outcome, error) {
	late := m
	late.Deadline = time.Now().Add(time.Second) // the transport's time limit
	outcome := planner.Refused
	if m.Deadline.After(time.Now()) {
		return s.orders.Send(context.Background(), address, late)
	}
	body, err := json.Marshal(m)
	if err != nil {
		return outcome, err
	}
	response, err := s.post(address, body)
	if err != nil {
		return planner.Unknown, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusAccepted {
		outcome = planner.Accepted
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, outcome.String())
	return outcome, nil
}

func (s *sender) post(address netip.AddrPort, body []byte) (*http.Response, error) {
	url := "http://" + address.String() + orderer.Path
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return s.client.Do(request)
}

// node is one controller's placement.
type node struct {
	lease  *leaser.Leaser
	placer *placer.Placer
	sender *sender
	store  *freezer
}

// bench is a region of engines with nodes that place models on them.
type bench struct {
	is       *is.I
	row      row
	document []byte
	version  uint64
	wanted   string
	allowed  []string
	bundles  *holder.Holder
	key      ed25519.PrivateKey
	faulty   *keeper.Faulty
	weights  *generator.Weights
	pipe     *piper.Client
	nodes    []*node
	log      *logrus.Entry

	mu      sync.Mutex
	engines []*generator.Engine
}

func newBench(t *testing.T, r row, document []byte) *bench {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &bench{is: is.New(t), row: r, document: document, log: logrus.NewEntry(log)}
	b.key = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public, _ := b.key.Public().(ed25519.PublicKey)
	b.bundles = holder.New(holder.Config{Verifier: signer.Verifier{
		Deployment: "demo", Keys: map[string]ed25519.PublicKey{"ops-1": public}, Threshold: 1,
	}})
	b.faulty = keeper.NewFaulty(keeper.New())
	b.weights = &generator.Weights{FullRateLoads: maxLoads}
	for i := range r.Engines {
		b.engines = append(b.engines, b.newEngine(i, 1))
	}
	b.pipe = piper.NewClient(http.HandlerFunc(b.serveEngine))
	b.publish("w1", "")
	return b
}

func (b *bench) newEngine(i int, incarnation uint64) *generator.Engine {
	return generator.New(generator.Config{
		Name:              fmt.Sprintf("tile-%d", i),
		Slots:             8,
		CacheBlocks:       16,
		LoadTime:          500 * time.Millisecond,
		ChecksFencing:     b.row.ChecksFencing,
		IgnoresConditions: b.row.IgnoresConditions,
		Weights:           b.weights,
		Incarnation:       incarnation,
	})
}

func (b *bench) engine(i int) *generator.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines[i]
}

// serveEngine finds the engine by the last number of its address.
func (b *bench) serveEngine(w http.ResponseWriter, r *http.Request) {
	address := netip.MustParseAddrPort(r.Host)
	generator.Handler(b.engine(int(address.Port())-1)).ServeHTTP(w, r)
}

// publish brings a bundle with these weights into force.
func (b *bench) publish(wanted, previous string) {
	var bundle checker.Bundle
	b.is.NoErr(json.Unmarshal(b.document, &bundle))
	b.version++
	b.wanted = wanted
	bundle.Version = b.version
	bundle.Models[0].WeightsVersion = wanted
	bundle.Models[0].PreviousWeightsVersion = previous
	b.allowed = planner.Versions(bundle.Models[0])
	bundle.Policy.Placement.MaxLoads = maxLoads
	services := bundle.Upstreams[1]
	bundle.Upstreams = []checker.Upstream{services}
	for i := range b.row.Engines {
		bundle.Upstreams = append(bundle.Upstreams, checker.Upstream{
			Name:             fmt.Sprintf("tile-%d", i),
			Kind:             checker.Engine,
			Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
			Region:           region,
			AvailabilityZone: "jhb-a1",
			Models:           []string{bundle.Models[0].Name},
			Slots:            8,
			ChecksFencing:    b.row.ChecksFencing,
		})
	}
	document, err := checker.Encode(&bundle)
	b.is.NoErr(err)
	e := signer.Envelope{Document: document}
	e.Sign("ops-1", b.key)
	b.is.NoErr(b.bundles.Offer(time.Now(), e))
}

func (b *bench) addNode(ctx context.Context, lease placer.Holder, leases *leaser.Leaser, store *freezer) {
	n := &node{lease: leases, store: store}
	n.sender = &sender{client: b.pipe.Client, lose: b.row.LoseAnswers}
	n.sender.orders = orderer.New(orderer.Config{Client: n.sender.client})
	n.placer = placer.New(placer.Config{
		Region: region, Node: fmt.Sprintf("vm-%d", len(b.nodes)), Bundles: b.bundles, Lease: lease, Orders: n.sender, Log: b.log,
	})
	b.nodes = append(b.nodes, n)
	go n.placer.Run(ctx)
	go (&feed{bench: b, placer: n.placer}).run(ctx)
}

// feed brings the engines' reports to a placer.
type feed struct {
	bench  *bench
	placer *placer.Placer
}

func (f *feed) run(ctx context.Context) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		reports := make([]observer.Report, 0, f.bench.row.Engines)
		for i := range f.bench.row.Engines {
			reports = append(reports, f.bench.engine(i).Report())
		}
		f.placer.Reports(reports)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// counts returns the engines that serve the wanted and any allowed version.
func (b *bench) counts() (wanted, allowed int) {
	for i := range b.row.Engines {
		for _, m := range b.engine(i).Report().Models {
			if m.WeightsVersion == b.wanted {
				wanted++
			}
			if slices.Contains(b.allowed, m.WeightsVersion) {
				allowed++
			}
		}
	}
	return wanted, allowed
}
