package coordinator

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/quarantiner"
)

// TestInvalidEvidenceIsRejected guards against messages that a VM does not send, which
// would fill the hub's memory or put decisions into the far future.
func TestInvalidEvidenceIsRejected(t *testing.T) {
	t.Parallel()
	fingerprints := []quarantiner.Fingerprint{quarantiner.NewPart("m", "a")}
	valid := func() Evidence {
		return Evidence{Type: quarantiner.Crashed, Fingerprints: fingerprints, Upstream: "u", Millis: 5, SentMillis: 10}
	}
	rows := map[string]func(*Evidence){
		"type missing":          func(e *Evidence) { e.Type = 0 },
		"type unknown":          func(e *Evidence) { e.Type = 9 },
		"no fingerprints":       func(e *Evidence) { e.Fingerprints = nil },
		"too many fingerprints": func(e *Evidence) { e.Fingerprints = make([]quarantiner.Fingerprint, 65) },
		"fingerprint unknown":   func(e *Evidence) { e.Fingerprints = []quarantiner.Fingerprint{"x"} },
		"fingerprint too long":  func(e *Evidence) { e.Fingerprints[0] += quarantiner.Fingerprint(strings.Repeat("x", 100)) },
		"upstream missing":      func(e *Evidence) { e.Upstream = "" },
		"age negative":          func(e *Evidence) { e.Millis = -1 },
		"age of the request":    func(e *Evidence) { e.SentMillis = -1 },
		"trial far away":        func(e *Evidence) { e.TrialInMillis = 1 << 60 },
		"trials negative":       func(e *Evidence) { e.Trials = -1 },
	}
	for name, spoil := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := valid()
			e.Fingerprints = append([]quarantiner.Fingerprint(nil), e.Fingerprints...)
			r := Report{Node: "vm1", Number: 1, Evidence: []Evidence{e}}
			is.NoErr(r.Check())
			spoil(&r.Evidence[0])
			is.True(r.Check() != nil)
		})
	}
	is := is.New(t)
	is.True(Report{Node: "vm1", Number: 1, Evidence: make([]Evidence, maxEvidence+1)}.Check() != nil)
	state := State{Quarantines: []Quarantine{{Fingerprint: fingerprints[0], State: quarantiner.Quarantined}}}
	is.NoErr(state.Check(0))
	state.Quarantines[0].State++
	is.True(state.Check(0) != nil)
	state.Quarantines[0] = Quarantine{Fingerprint: "x"}
	is.True(state.Check(0) != nil)
}
