package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/bencher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// firstAnswerTimeout limits the wait for the first successful response.
const firstAnswerTimeout = 30 * time.Second

// benchOptions holds the flags of the bench subcommand.
type benchOptions struct {
	direct, router string
	cfg            bencher.Config
	processes      []string
	tokens         int
	promptBytes    int
	since          int64
}

func newBenchCommand() command {
	o := benchOptions{tokens: 8, promptBytes: 4096}
	o.cfg = bencher.Config{Organisation: "kliek-teels", WeightsVersion: "w1", Rate: 500, RoundDuration: 5 * time.Second, Rounds: 6}
	parser := flaggy.NewSubcommand("bench")
	parser.Description = "Time what a router adds to requests, in rounds by both ways in turn; the first is not counted."
	parser.String(&o.direct, "d", "direct", "IP number and port of an engine.")
	parser.String(&o.router, "r", "router", "IP number and port of a router before it.")
	parser.String(&o.cfg.Key, "k", "key", "Key of the caller.")
	parser.Int(&o.cfg.Rate, "", "rate", "Requests a second.")
	parser.Duration(&o.cfg.RoundDuration, "", "length", "Length of one round.")
	parser.Int(&o.cfg.Rounds, "n", "rounds", "Number of rounds.")
	parser.Int(&o.tokens, "", "tokens", "Tokens of one answer.")
	parser.Int(&o.promptBytes, "", "prompt-bytes", "Bytes of the prompt.")
	parser.StringSlice(&o.processes, "p", "process", "Process to watch, as name=PID; may be repeated.")
	parser.Int64(&o.since, "", "since", "Only time the first answer, from this Unix time in nanoseconds.")
	return command{parser: parser, run: o.run}
}

func (o *benchOptions) run(ctx context.Context) error {
	if err := o.parse(); err != nil {
		return err
	}
	b := bencher.New(o.cfg)
	if o.since > 0 {
		return o.firstAnswer(ctx, b)
	}
	report, err := b.Run(ctx)
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}

func (o *benchOptions) firstAnswer(ctx context.Context, b *bencher.Bencher) error {
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	elapsed, err := b.FirstResponse(ctx, time.Unix(0, o.since))
	if err != nil {
		return err
	}
	fmt.Printf("first answer %d ms after the start\n", elapsed.Milliseconds())
	return nil
}

func (o *benchOptions) parse() error {
	var err error
	if o.cfg.Router, err = netip.ParseAddrPort(o.router); err != nil {
		return fmt.Errorf("parse --router: %w", err)
	}
	if o.direct != "" {
		if o.cfg.Direct, err = netip.ParseAddrPort(o.direct); err != nil {
			return fmt.Errorf("parse --direct: %w", err)
		}
	}
	if o.cfg.Rate < 1 || o.cfg.Rounds < 2 || o.cfg.RoundDuration <= 0 {
		return fmt.Errorf("--rate: want 1 or more; --rounds: want 2 or more; --length: want more than 0s")
	}
	for _, text := range o.processes {
		name, number, _ := strings.Cut(text, "=")
		pid, err := strconv.Atoi(number)
		if err != nil {
			return fmt.Errorf("--process: got %q, want name=PID", text)
		}
		o.cfg.Processes = append(o.cfg.Processes, bencher.Process{Name: name, PID: pid})
	}
	o.cfg.Body, err = json.Marshal(encoder.Request{
		Model:     "tile-match",
		Prompt:    strings.Repeat("catalogue sheet ", o.promptBytes/len("catalogue sheet ")),
		MaxTokens: o.tokens,
		Stream:    true,
	})
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
	}
	return nil
}
