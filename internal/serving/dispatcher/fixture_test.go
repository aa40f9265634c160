package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	modelName = "tile-match"
	weights   = "w1"
)

// readRows decodes the rows of a test table in testdata.
func readRows[T any](t *testing.T, name string) []T {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	var rows []T
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return rows
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

func newEngine(name string, incarnation uint64) *generator.Engine {
	return newEngineWithPrefill(name, incarnation, 1)
}

func newEngineWithPrefill(name string, incarnation uint64, prefillMillis int) *generator.Engine {
	return generator.New(generator.Config{
		Name:            name,
		Models:          []observer.LoadedModel{{Name: modelName, WeightsVersion: weights}},
		Slots:           8,
		CacheBlocks:     64,
		PrefillPerBlock: time.Duration(prefillMillis) * time.Millisecond,
		TokenInterval:   10 * time.Millisecond,
		Incarnation:     incarnation,
	})
}

// discardLog returns a logger without output.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func streamPolicy() checker.StreamPolicy {
	return checker.StreamPolicy{
		FirstByteTimeout:   checker.Duration(10 * time.Second),
		IdleTimeout:        checker.Duration(3 * time.Second),
		TotalTimeout:       checker.Duration(2 * time.Minute),
		CallerWriteTimeout: checker.Duration(5 * time.Second),
		MaxResumes:         3,
	}
}

func newJob(id, prompt string, tokens int) dispatcher.Job {
	return dispatcher.Job{
		ID: id,
		Bundle: &checker.Bundle{Policy: checker.Policy{
			Attempts: checker.AttemptPolicy{MaxAttempts: 3},
			Streams:  streamPolicy(),
		}},
		Organisation: checker.Organisation{Name: "kliek-teels"},
		Model:        checker.Model{Name: modelName, WeightsVersion: weights, ContinueElsewhere: true},
		Priority:     checker.Interactive,
		Path:         "/v1/completions",
		Request:      encoder.Request{Model: modelName, Prompt: prompt, MaxTokens: tokens, Stream: true},
	}
}

// expectedText returns the text of the first n tokens that every engine generates
// for prompt.
func expectedText(prompt string, n int) string {
	var text string
	for i := range n {
		text += generator.Token(prompt, weights, i)
	}
	return text
}

// eventCounter counts events by name.
type eventCounter struct {
	mu     sync.Mutex
	counts map[dispatcher.AnswerEvent]int
}

func newEventCounter() *eventCounter {
	return &eventCounter{counts: make(map[dispatcher.AnswerEvent]int)}
}

func (c *eventCounter) add(event dispatcher.AnswerEvent, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[event] += n
}

func (c *eventCounter) count(event dispatcher.AnswerEvent) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[event]
}

// orderedChooser chooses the first upstream that is not excluded, beginning at
// start. It counts the attempts that were sent and ended.
type orderedChooser struct {
	upstreams int
	start     int

	mu   sync.Mutex
	open map[dispatcher.Choice]int
	ends map[string]int
}

func newOrderedChooser(upstreams int) *orderedChooser {
	return &orderedChooser{upstreams: upstreams, open: make(map[dispatcher.Choice]int), ends: make(map[string]int)}
}

func (c *orderedChooser) choose(id string, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	for i := range c.upstreams {
		i = (i + c.start) % c.upstreams
		name := fmt.Sprintf("up-%d", i)
		if !excluded[name] {
			return dispatcher.Choice{RequestID: id, Attempt: attempt, Target: caller.Target{Name: name, Address: addressOf(i)}}, nil
		}
	}
	return dispatcher.Choice{}, classifier.New(classifier.NoUpstream, "every upstream is excluded")
}

func (c *orderedChooser) Choose(_ context.Context, j dispatcher.Job, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	return c.choose(j.ID, attempt, excluded)
}

func (c *orderedChooser) ChooseService(_ context.Context, j dispatcher.ServiceJob, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	return c.choose(j.ID, attempt, excluded)
}

func (c *orderedChooser) Sent(_ time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[choice]++
}

func (c *orderedChooser) FirstToken(time.Time, dispatcher.Choice) {}

func (c *orderedChooser) Finished(_ time.Time, choice dispatcher.Choice) {
	c.endAttempt("finished", choice)
}

func (c *orderedChooser) Failed(_ time.Time, choice dispatcher.Choice, _ error) {
	c.endAttempt("failed", choice)
}

func (c *orderedChooser) Abandoned(_ time.Time, choice dispatcher.Choice) {
	c.endAttempt("abandoned", choice)
}

func (c *orderedChooser) endAttempt(result string, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[choice]--
	c.ends[result]++
}

// allEndedOnce reports whether every attempt that was sent has ended exactly once.
func (c *orderedChooser) allEndedOnce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.open {
		if n != 0 {
			return false
		}
	}
	return true
}
