package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/quarantiner"
)

var deadly = []quarantiner.Fingerprint{"deadly", "own"}

func quarantinedRow(f quarantiner.Fingerprint) quarantiner.Row {
	return quarantiner.Row{Fingerprint: f, State: quarantiner.Quarantined, FirstAt: at(1000), LastAt: at(3000), TrialAt: at(5000)}
}

func isRefused(g *quarantiner.Guard, ms int, list ...quarantiner.Fingerprint) bool {
	_, refused := g.Check(at(ms), list)
	return refused
}

// recordCrash records that upstream n has crashed under a request, n seconds after the start.
func recordCrash(g *quarantiner.Guard, n int, list ...quarantiner.Fingerprint) {
	now := at(1000 * n)
	g.RecordCrash(now, quarantiner.Crash{
		Fingerprints: list, Process: quarantiner.Process{Upstream: fmt.Sprint(n)}, SentAt: now.Add(-time.Millisecond), At: now,
	})
}

// TestGuardWithoutHubGoesByItsOwnCrashes checks that the hub decides while there is one.
func TestGuardWithoutHubGoesByItsOwnCrashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	for n := 1; n <= 3; n++ {
		recordCrash(g, n, deadly...)
	}
	is.True(isRefused(g, 3500, deadly...))
	is.True(!isRefused(g, 3500, "other"))
	g.Apply(at(4000), true, nil)
	is.True(!isRefused(g, 4500, deadly...)) // other VMs may have seen answers
	is.True(isRefused(g, 6600, deadly...))  // the hub has been silent
	is.True(!isRefused(g, 6700, deadly...)) // the VM's own trial
	is.True(g.Admit(at(6700), deadly))
	is.True(isRefused(g, 6800, deadly...))
}

// TestGuardReportsAnswersFromBeforeTheQuestion guards against a popular part that is
// quarantined since nobody was asked about it when it was answered.
func TestGuardReportsAnswersFromBeforeTheQuestion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	is.True(!g.RecordAnswer(at(2000), []quarantiner.Fingerprint{"popular"}, 1))
	_, before := g.Events(0)
	row := quarantinedRow("popular")
	row.State = quarantiner.Suspect
	_, urgent := g.Apply(at(3100), false, []quarantiner.Row{row, quarantinedRow("deadly")})
	is.True(urgent)
	events, last := g.Events(before)
	is.Equal(len(events), 1)
	is.Equal(events[0].Fingerprints, []quarantiner.Fingerprint{"popular"})
	is.Equal(events[0].At, at(2000))

	// Later answers are reported too, but not each.
	is.True(g.RecordAnswer(at(3200), []quarantiner.Fingerprint{"popular"}, 1))
	is.True(!g.RecordAnswer(at(3210), []quarantiner.Fingerprint{"popular"}, 1))
	events, _ = g.Events(last)
	is.Equal(len(events), 1)
}

// TestTrialPermitsOneRequest checks that one request at one VM is sent in spite of a
// quarantine.
func TestTrialPermitsOneRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	g.Apply(at(4000), true, []quarantiner.Row{quarantinedRow("deadly")})
	refusal, refused := g.Check(at(4100), deadly)
	is.True(refused)
	is.Equal(refusal.TrialAt, at(5000))
	events, _ := g.Events(0)
	is.Equal(events[0].Type, quarantiner.Refused)

	trial := quarantinedRow("deadly")
	trial.Trials, trial.TrialVM, trial.TrialUntil = 1, "vm2", at(8000)
	g.Apply(at(5000), false, []quarantiner.Row{trial})
	is.True(isRefused(g, 5100, deadly...)) // the trial is at another VM
	trial.TrialVM = "vm1"
	g.Apply(at(5200), false, []quarantiner.Row{trial})
	is.True(!isRefused(g, 5300, deadly...))
	is.True(g.Admit(at(5300), deadly))
	is.True(!g.Admit(at(5301), deadly))
	is.True(isRefused(g, 5400, deadly...))
	trial.Trials = 2
	g.Apply(at(6000), false, []quarantiner.Row{trial})
	is.True(isRefused(g, 8001, deadly...)) // too late
	is.True(g.Admit(at(7000), deadly))
}

// TestTrialOfARequestThatDidNotRunIsReturned guards against trials that end without a result
// since their upstream was just starting again.
func TestTrialOfARequestThatDidNotRunIsReturned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	before, admitted := g.AdmitWithPass(at(3000), deadly)
	is.True(admitted)
	trial := quarantinedRow("deadly")
	trial.Trials, trial.TrialVM, trial.TrialUntil = 1, "vm1", at(8000)
	g.Apply(at(5000), true, []quarantiner.Row{trial})
	pass, admitted := g.AdmitWithPass(at(5100), deadly)
	is.True(admitted)
	g.Return(before) // it was sent before the quarantine
	is.True(isRefused(g, 5200, deadly...))
	g.Return(pass)
	is.True(!isRefused(g, 5300, deadly...))
	is.True(g.Admit(at(5300), deadly))
	trial.Trials = 2
	g.Apply(at(7000), false, []quarantiner.Row{trial})
	is.True(g.Admit(at(7100), deadly))
	g.Return(pass) // the trial is over
	is.True(isRefused(g, 7200, deadly...))
}

// TestManyQuarantinesOfOneRequest guards against requests with more quarantined parts than
// one event holds, which would never be on trial.
func TestManyQuarantinesOfOneRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := make([]quarantiner.Fingerprint, 200)
	for n := range list {
		list[n] = quarantiner.Fingerprint(fmt.Sprint("p", n))
	}
	g, hub := quarantiner.NewGuard("vm1"), quarantiner.NewLedger()
	for n := 1; n <= 3; n++ {
		recordCrash(g, n, list...)
	}
	apply := func(now int) {
		events, _ := g.Events(0)
		for _, e := range events {
			is.True(len(e.Fingerprints) <= quarantiner.MaxFingerprints)
			hub.Apply(at(now), "vm1", e)
		}
		hub.Advance(at(now))
		g.Apply(at(now), true, hub.Rows())
	}
	apply(3100)
	apply(3600)
	is.Equal(len(hub.Rows()), len(list))
	is.True(isRefused(g, 4700, list...))
	apply(4800)
	is.True(!isRefused(g, 4900, list...))
}

// TestAnswersAreReportedTogether guards against an event for each part of a prompt, which
// displace the crashes that are kept for the next hub.
func TestAnswersAreReportedTogether(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	list := make([]quarantiner.Fingerprint, 100)
	rows := make([]quarantiner.Row, 100)
	for n := range list {
		list[n] = quarantiner.Fingerprint(fmt.Sprint("p", n))
		rows[n] = quarantinedRow(list[n])
	}
	g.RecordAnswer(at(500), list, 1)
	_, urgent := g.Apply(at(4000), true, rows)
	is.True(urgent)
	events, last := g.Events(0)
	is.Equal(len(events), 2)
	is.True(g.RecordAnswer(at(5000), list, 1))
	events, _ = g.Events(last)
	is.Equal(len(events), 2)
	is.Equal(len(events[0].Fingerprints)+len(events[1].Fingerprints), 100)
}

// TestTrialNeedsAllQuarantines checks that a request with two quarantined parts waits for
// trials of both.
func TestTrialNeedsAllQuarantines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	trial := quarantinedRow("a")
	trial.Trials, trial.TrialVM, trial.TrialUntil = 1, "vm1", at(8000)
	g.Apply(at(4000), true, []quarantiner.Row{trial, quarantinedRow("b")})
	is.True(isRefused(g, 4100, "a", "b"))
	events, _ := g.Events(0)
	is.Equal(events[0].Fingerprints, []quarantiner.Fingerprint{"a", "b"})
	trial.Fingerprint = "b"
	g.Apply(at(4500), false, []quarantiner.Row{trial})
	is.True(g.Admit(at(4600), []quarantiner.Fingerprint{"a", "b"}))
	is.True(isRefused(g, 4700, "a"))
}

// TestGuardKeepsQuarantinesWhenTheHubMoves guards against requests that are sent again
// until the next hub has the decisions of the one before.
func TestGuardKeepsQuarantinesWhenTheHubMoves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := quarantiner.NewGuard("vm1")
	recordCrash(g, 3, deadly...)
	g.Apply(at(4000), true, []quarantiner.Row{quarantinedRow("deadly")})
	events, last := g.Snapshot(at(5000))
	is.Equal(len(events), 2)
	is.Equal(events[0].Type, quarantiner.Crashed)
	is.Equal(events[1].Type, quarantiner.Known)
	is.Equal(events[1].At, at(3000))
	more, _ := g.Events(last)
	is.Equal(len(more), 0)

	next := quarantiner.NewLedger()
	g.Apply(at(5100), true, next.Rows())
	is.True(isRefused(g, 5200, deadly...))
	for _, e := range events {
		next.Apply(at(5300), "vm1", e)
	}
	is.True(next.IsQuarantined("deadly"))
	g.Apply(at(5400), false, next.DrainChanges())
	is.True(isRefused(g, 60_000, deadly...))
	g.Apply(at(60_100), true, nil)
	is.True(isRefused(g, 60_200, deadly...))
	is.True(!isRefused(g, 61_900, "own"))
	g.Apply(at(62_200), false, nil)
	is.True(!isRefused(g, 62_300, deadly...)) // no hub has stated it for 2 s
}
