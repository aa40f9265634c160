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

// row is a test case: a region of engines and the events in it.
type row struct {
	Name              string `json:"name"`
	Engines           int    `json:"engines"`
	ChecksFencing     bool   `json:"checks_fencing"`
	IgnoresConditions bool   `json:"ignores_conditions"`
	LoseAnswers       bool   `json:"lose_answers"`
	Steps             []step `json:"steps"`
}

// sender sends orders. It can block an order before sending it or drop the
// response.
type sender struct {
	orders        *orderer.Orderer
	client        *http.Client
	loseResponses bool

	mu           sync.Mutex
	paused       chan struct{}
	lateOutcomes []string
}

func (s *sender) Send(ctx context.Context, address netip.AddrPort, m orderer.Message) (planner.Outcome, error) {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		<-paused
		return s.sendLate(address, m)
	}
	outcome, err := s.orders.Send(ctx, address, m)
	if s.loseResponses {
		return planner.Unknown, errors.New("response to order lost")
	}
	return outcome, err
}

// sendLate sends an order that was blocked while its node was paused, even if
// its deadline has passed.
func (s *sender) sendLate(address netip.AddrPort, m orderer.Message) (planner.Outcome, error) {
	late := m
	late.Deadline = time.Now().Add(time.Second) // Send limits its HTTP call to this deadline
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
	s.lateOutcomes = append(s.lateOutcomes, outcome.String())
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

// node is one controller with its lease and placer.
type node struct {
	lease  *leaser.Leaser
	placer *placer.Placer
	sender *sender
	store  *pausableStore
}

// testRegion is a region of engines with the nodes that place models on them.
type testRegion struct {
	is       *is.I
	row      row
	document []byte
	version  uint64
	wanted   string
	allowed  []string
	bundles  *holder.Holder
	key      ed25519.PrivateKey
	faulty   *keeper.Faulty
	weights  *generator.WeightStore
	pipe     *piper.Client
	nodes    []*node
	log      *logrus.Entry

	mu      sync.Mutex
	engines []*generator.Engine
}

func newTestRegion(t *testing.T, r row, document []byte) *testRegion {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tr := &testRegion{is: is.New(t), row: r, document: document, log: logrus.NewEntry(log)}
	tr.key = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public, _ := tr.key.Public().(ed25519.PublicKey)
	tr.bundles = holder.New(holder.Config{Verifier: signer.Verifier{
		Deployment: "demo", Keys: map[string]ed25519.PublicKey{"ops-1": public}, Threshold: 1,
	}})
	tr.faulty = keeper.NewFaulty(keeper.New())
	tr.weights = &generator.WeightStore{FullRateLoads: maxLoads}
	for i := range r.Engines {
		tr.engines = append(tr.engines, tr.newEngine(i, 1))
	}
	tr.pipe = piper.NewClient(http.HandlerFunc(tr.serveEngine))
	tr.publish("w1", "")
	return tr
}

func (tr *testRegion) newEngine(i int, incarnation uint64) *generator.Engine {
	return generator.New(generator.Config{
		Name:              fmt.Sprintf("tile-%d", i),
		Slots:             8,
		CacheBlocks:       16,
		LoadTime:          500 * time.Millisecond,
		ChecksFencing:     tr.row.ChecksFencing,
		IgnoresConditions: tr.row.IgnoresConditions,
		WeightStore:       tr.weights,
		Incarnation:       incarnation,
	})
}

func (tr *testRegion) engine(i int) *generator.Engine {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.engines[i]
}

// serveEngine routes a request to the engine that the port number identifies.
func (tr *testRegion) serveEngine(w http.ResponseWriter, r *http.Request) {
	address := netip.MustParseAddrPort(r.Host)
	generator.Handler(tr.engine(int(address.Port())-1)).ServeHTTP(w, r)
}

// publish puts a bundle with the given weights versions into force.
func (tr *testRegion) publish(wanted, previous string) {
	var bundle checker.Bundle
	tr.is.NoErr(json.Unmarshal(tr.document, &bundle))
	tr.version++
	tr.wanted = wanted
	bundle.Version = tr.version
	bundle.Models[0].WeightsVersion = wanted
	bundle.Models[0].PreviousWeightsVersion = previous
	tr.allowed = planner.AllowedVersions(bundle.Models[0])
	bundle.Policy.Placement.MaxLoads = maxLoads
	services := bundle.Upstreams[1]
	bundle.Upstreams = []checker.Upstream{services}
	for i := range tr.row.Engines {
		bundle.Upstreams = append(bundle.Upstreams, checker.Upstream{
			Name:             fmt.Sprintf("tile-%d", i),
			Kind:             checker.Engine,
			Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
			Region:           region,
			AvailabilityZone: "jhb-a1",
			Models:           []string{bundle.Models[0].Name},
			Slots:            8,
			ChecksFencing:    tr.row.ChecksFencing,
		})
	}
	document, err := checker.EncodeBundle(&bundle)
	tr.is.NoErr(err)
	e := signer.Envelope{Document: document}
	e.Sign("ops-1", tr.key)
	tr.is.NoErr(tr.bundles.Offer(time.Now(), e))
}

func (tr *testRegion) addNode(ctx context.Context, lease placer.Holder, leases *leaser.Leaser, store *pausableStore) {
	n := &node{lease: leases, store: store}
	n.sender = &sender{client: tr.pipe.Client, loseResponses: tr.row.LoseAnswers}
	n.sender.orders = orderer.New(orderer.Config{Client: n.sender.client})
	n.placer = placer.New(placer.Config{
		Region: region, Node: fmt.Sprintf("vm-%d", len(tr.nodes)), Bundles: tr.bundles, Lease: lease, Orders: n.sender, Log: tr.log,
	})
	tr.nodes = append(tr.nodes, n)
	go n.placer.Run(ctx)
	go (&reportFeed{region: tr, placer: n.placer}).run(ctx)
}

// reportFeed delivers the engines' reports to a placer.
type reportFeed struct {
	region *testRegion
	placer *placer.Placer
}

func (f *reportFeed) run(ctx context.Context) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		reports := make([]observer.Report, 0, f.region.row.Engines)
		for i := range f.region.row.Engines {
			reports = append(reports, f.region.engine(i).Report())
		}
		f.placer.RecordReports(reports)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// counts returns the number of engines that serve the wanted version and the
// number that serve any allowed version.
func (tr *testRegion) counts() (wanted, allowed int) {
	for i := range tr.row.Engines {
		for _, m := range tr.engine(i).Report().Models {
			if m.WeightsVersion == tr.wanted {
				wanted++
			}
			if slices.Contains(tr.allowed, m.WeightsVersion) {
				allowed++
			}
		}
	}
	return wanted, allowed
}
