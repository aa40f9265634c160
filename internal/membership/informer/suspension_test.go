package informer

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// weightsCodec decodes only desired versions: the value of an entry is the version of
// the model that its key names.
type weightsCodec struct{ Codec }

func (weightsCodec) IsConfiguration(string) bool { return false }
func (weightsCodec) IsWeights(string) bool       { return true }
func (weightsCodec) Weights(value []byte) (string, uint64, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	return "m", version, err
}

// suspensionRow is a script of what a VM receives. All times are on a clock that
// suspensions do not stop.
type suspensionRow struct {
	Name  string           `json:"name"`
	Steps []suspensionStep `json:"steps"`
	// At is when the age of the newest version is read, and MinAge and MaxAge bound it.
	At     int `json:"at_ms"`
	MinAge int `json:"min_age_ms"`
	MaxAge int `json:"max_age_ms"`
}

type suspensionStep struct {
	At int `json:"at_ms"`
	// Do is suspend, stop_clock (a suspension during which the monotonic clock stands
	// still), call, response, snapshot or update.
	Do      string `json:"do"`
	Until   int    `json:"until_ms"`
	Wait    int    `json:"wait_ms"`
	Version int    `json:"version"`
	// Complete is set for an update that lists all keys. Age is that of the update, and
	// Told the age of the version that comes with it, or negative if none does.
	Complete bool `json:"complete"`
	Age      int  `json:"age_ms"`
	Told     int  `json:"told_ms"`
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// suspendableVM is an Informer whose clocks the test sets.
type suspendableVM struct {
	*Informer
	now       time.Time
	sinceBoot time.Duration
	suspended time.Duration
	revision  uint64
}

func newSuspendableVM() *suspendableVM {
	log := logrus.New()
	log.SetOutput(io.Discard)
	v := &suspendableVM{now: time.Unix(1_700_000_000, 0), sinceBoot: time.Hour}
	v.Informer = New(Config{
		Codec:             weightsCodec{},
		OperatorPrefix:    "op/",
		UpstreamPrefix:    "upstreams/",
		VMPrefix:          "vms/",
		Started:           v.now.Add(-time.Minute),
		InitialWeightsAge: 4 * time.Second,
		Suspended:         func() time.Duration { return v.suspended },
		Log:               logrus.NewEntry(log),
	})
	v.confirmation.start(v.now)
	return v
}

// runUntil lets the process run until a time since boot.
func (v *suspendableVM) runUntil(at time.Duration) {
	for v.sinceBoot < at {
		d := min(expireInterval, at-v.sinceBoot)
		v.now, v.sinceBoot = v.now.Add(d), v.sinceBoot+d
		v.handleTick(v.now)
	}
}

func (v *suspendableVM) do(s suspensionStep) {
	var changes []storer.Change
	if s.Version > 0 {
		v.revision++
		value := []byte(strconv.Itoa(s.Version))
		changes = []storer.Change{{Entry: storer.Entry{Key: "op/version/m", Value: value, Revision: v.revision}}}
	}
	switch s.Do {
	case "suspend", "stop_clock":
		d := time.Hour + millis(s.Until) - v.sinceBoot
		v.sinceBoot += d
		if s.Do == "suspend" {
			v.now = v.now.Add(d)
		} else {
			v.suspended += d
		}
	case "call":
		v.HandleCall(v.now, "op/", millis(s.Wait))
	case "response":
		v.Apply(v.now, "op/", changes, storer.Version{Revision: v.revision})
	case "snapshot":
		v.Replace(v.now, "op/", []storer.Entry{changes[0].Entry}, storer.Version{Revision: v.revision})
	case "update":
		var ages []WeightsAge
		if s.Version > 0 && s.Told >= 0 {
			ages = []WeightsAge{{Model: "m", Version: uint64(s.Version), AgeMillis: int64(s.Told)}}
		}
		v.RecordWeightsAges(v.now, ages)
		v.ApplyUpdate(v.now, Update{
			Prefix:    "op/",
			Revision:  v.revision,
			Complete:  s.Complete,
			Keys:      []string{"op/version/m"},
			Changes:   changes,
			AgeMillis: int64(s.Age),
		})
	}
}

// TestWeightsAgeIncludesSuspension guards against a VM that was suspended while a newer
// version was set, and that uses older weights for as long as if it had known at once.
func TestWeightsAgeIncludesSuspension(t *testing.T) {
	t.Parallel()
	var rows []suspensionRow
	scripter.Read(t, "testdata/suspensions.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			v := newSuspendableVM()
			for _, s := range row.Steps {
				v.runUntil(time.Hour + millis(s.At))
				v.do(s)
			}
			v.runUntil(time.Hour + millis(row.At))
			newest := v.DesiredWeights()["m"]
			is.Equal(newest.Version, uint64(2))
			age := v.now.Sub(newest.Since)
			t.Logf("age %v", age)
			is.True(age >= millis(row.MinAge))
			is.True(age <= millis(row.MaxAge))
		})
	}
}
