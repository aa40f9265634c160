package shedder

import (
	"cmp"
	"time"
)

// slackStep is the difference in slack below which the amount of work decides:
// estimates of queues are no more precise, since the loads of other VMs are known
// some 100 ms late.
const slackStep = 50 * time.Millisecond

// Compare orders two requests by what their loss costs callers: negative if a is
// served before b. Work that is late by estimate comes after all work that can be in
// time. Then follow priority, use above the fair share, slack, work, and the time left,
// which puts a client that was refused before ahead of a new one.
//
// The order among requests in time does not depend on now, so that requests keep
// their places while they wait.
func Compare(now time.Time, a, b *Request) int {
	if c := compareLate(a.Late(now), b.Late(now)); c != 0 {
		return c
	}
	return compareRank(a, b)
}

// Outranks reports whether b must not take capacity while a waits: a can be in time
// and is more urgent, or of an organisation that is closer to its fair share. Slack and
// work do not decide here, since b may fit where a does not.
func Outranks(now time.Time, a, b *Request) bool {
	return !a.Late(now) && cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Overuse, b.Overuse)) < 0
}

// compareRank is Compare for two requests that are both in time or both late.
func compareRank(a, b *Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Overuse, b.Overuse),
		cmp.Compare(slackSteps(a), slackSteps(b)),
		cmp.Compare(a.Work, b.Work),
		a.Deadline.Compare(b.Deadline),
		a.ArrivedAt.Compare(b.ArrivedAt),
		cmp.Compare(a.ID, b.ID),
	)
}

func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// slackSteps returns the latest start in whole steps. Differences between rounded
// times keep the order transitive, which differences within a tolerance would not.
func slackSteps(r *Request) int64 { return r.latestStart().UnixNano() / int64(slackStep) }
