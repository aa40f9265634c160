// Command stand plays the cases of the review: it starts gateways as processes between
// stand-ins of the platform, workers and requesters, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// maxRunTime bounds one case.
const maxRunTime = 110 * time.Second

// caseFunc plays a case and returns what broke the rule, empty if it held.
type caseFunc func(ctx context.Context, s *site) (string, error)

var cases = map[string]caseFunc{
	"resume":   playResume,
	"parallel": playParallel,
	"batch":    playBatch,
	"slashes":  playSlashes,
}

func main() {
	program := flag.String("program", "target/gentianstep", "path of the gateway's program")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(run(*program, *dir, flag.Arg(0)))
}

func run(program, dir, name string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "stand: no case %q\n", name)
		return statusFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return statusFailed
	}
	defer record.close()
	s, err := newSite(siteConfig{Program: program, Record: record, Trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return statusFailed
	}
	defer s.close()
	broken, err := play(ctx, s)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the case ran out of time")
	}
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return statusFailed
	case broken != "":
		record.printf("broken: %s", broken)
		fmt.Println("broken:", broken)
		return statusBroken
	}
	record.printf("held")
	fmt.Println("held")
	return statusHeld
}
