package informer_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/platform"
)

// TestUpstreamLinesStateProcessAndSource guards against lines on upstreams from which it
// does not follow which process an entry is of, and where it came from.
func TestUpstreamLinesStateProcessAndSource(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	i := informer.New(informer.Config{
		Codec:          platform.Codec{},
		OperatorPrefix: platform.OperatorPrefix,
		UpstreamPrefix: platform.UpstreamPrefix,
		VMPrefix:       "own/",
		Log:            logrus.NewEntry(log),
	})
	entry := storer.Entry{
		Key:      platform.UpstreamPrefix + "a",
		Value:    []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"draining","cold_remaining_ms":0,"sequence":0,"version":"1","born":1700000000123}`),
		Era:      3,
		Revision: 40,
	}
	i.ApplyReplica(testTime, informer.Replica{Prefix: platform.UpstreamPrefix, Era: 3, Revision: 40, Entries: []storer.Entry{entry}})
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	var line map[string]any
	is.NoErr(json.Unmarshal(lines[0], &line))
	for field, want := range map[string]any{
		"event": "upstream_joined", "upstream": "a", "leaving": true, "started_ms": 1700000000123.0,
		"source": "vm", "era": 3.0, "revision": 40.0, "restored": false,
	} {
		is.Equal(line[field], want) // the field of the map
	}
}
