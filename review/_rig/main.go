// Command rig plays the cases of the second review that no day of the bench can play. It starts
// gateways as processes on loopback addresses, with small stand-ins of the platform, of workers
// and of requesters around them.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
)

// Results of a case, which are the exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// env is what a case runs in.
type env struct {
	program string
	dir     string
	// trouble is false if the case runs without its disruption.
	trouble bool
	rec     *record
	store   *store
	// storeAddress is where gateways reach the store.
	storeAddress string
}

var cases = map[string]func(*env) int{}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/gentianstep", "program of the gateway")
	out := flag.String("out", ".", "folder of record.txt")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(couldNot)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	e := &env{program: *program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: newRecord(*out), store: newStore()}
	e.storeAddress = serveOn("127.0.0.1", e.store)
	code := play(e)
	e.rec.add("exit %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}

// serveOn serves a handler on a free port of a loopback address.
func serveOn(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
