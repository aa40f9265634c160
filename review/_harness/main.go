// Command harness runs the cases of review/REPORT-3.md that are scripts: gateways as processes
// of the deploy file, between stand-ins of clients, servers and the platform's store.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// trouble reports whether the disruption of the case takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func() bool{
		"quota":           quota,
		"wall":            wall,
		"version-silence": versionSilence,
		"config-silence":  configSilence,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fail("want the name of a case")
	}
	if cases[os.Args[1]]() {
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
	fmt.Println("the rule was broken")
	os.Exit(exitBroken)
}
