package informer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// maxLineBytes bounds a line on an odd entry.
const maxLineBytes = 2048

// oddEntries are entries that another writer has left among those of upstreams.
type oddEntries struct {
	Name string `json:"name"`
	// Value is repeated Repeat times if that is above 0, and PAD in it is filled so that
	// it has Size bytes.
	Value  string `json:"value"`
	Repeat int    `json:"repeat"`
	Size   int    `json:"size"`
	Count  int    `json:"count"`
	// Listed is true if they are there when the VMs start.
	Listed bool `json:"listed"`
	// Lines is the number of lines on ignored entries of each VM.
	Lines int `json:"lines"`
}

func (o oddEntries) value() []byte {
	value := strings.Repeat(o.Value, max(o.Repeat, 1))
	if pad := o.Size - len(value) + len("PAD"); pad > 0 {
		value = strings.Replace(value, "PAD", strings.Repeat("x", pad), 1)
	}
	return []byte(value)
}

// oddRun is a run of three VMs with sound upstreams and odd entries. The store does not
// serve the last VM, which gets the entries from the others.
type oddRun struct {
	is      *is.I
	odd     oddEntries
	store   *platformtest.Store
	workers []*platformtest.Worker
	vms     []*vm
	logs    []*bytes.Buffer
}

// TestOddEntries checks that VMs hold on to the sound upstreams and follow their changes
// while another writer leaves odd entries, and that these name no upstream.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	var rows []oddEntries
	scripter.Read(t, "testdata/odd_entries.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := &oddRun{is: is.New(t), odd: row, store: platformtest.NewStore()}
				r.run(t)
			})
		})
	}
}

func (r *oddRun) run(t *testing.T) {
	network := piper.New()
	defer func() {
		for _, v := range r.vms {
			v.stop()
		}
		network.Close()
	}()
	r.store.PageSize = 1 // the store ends a page after 1 MB
	if r.odd.Size == 0 {
		r.store.PageSize = 500
	}
	putConfiguration(r.store, 1, "k1")
	for n := range 3 {
		w := platformtest.NewWorker(fmt.Sprintf("w%d", n+1))
		w.StartedAtMS = 1000
		r.workers = append(r.workers, w)
	}
	r.putSound(0, 1)
	if r.odd.Listed {
		r.putOdd()
	}
	r.startVMs(t, network)
	r.check("w1", "w2")
	if !r.odd.Listed {
		r.putOdd()
		r.check("w1", "w2")
	}
	r.putSound(2)
	r.check("w1", "w2", "w3")
	r.putOdd() // another writer repeats its entries
	r.store.Put(r.workers[0].Key(), r.odd.value())
	r.check("w2", "w3")
	r.putSound(0)
	r.check("w1", "w2", "w3")
	r.checkLines()
}

func (r *oddRun) startVMs(t *testing.T, network *piper.Network) {
	t.Helper()
	for n := range 3 {
		log := logrus.New()
		out := &bytes.Buffer{}
		log.SetOutput(out)
		log.SetFormatter(&logrus.JSONFormatter{})
		door := r.store.NewEndpoint()
		if n == 2 {
			door.SetFault(platformtest.Unavailable)
		}
		r.logs = append(r.logs, out)
		r.vms = append(r.vms, startVMWithLog(t, network, door, n, 3, logrus.NewEntry(log)))
	}
}

func (r *oddRun) putSound(workers ...int) {
	for _, n := range workers {
		w := r.workers[n]
		r.store.Put(w.Key(), w.Entry("s", fmt.Sprintf("10.1.0.%d:80", n+1), "z", 4))
	}
}

func (r *oddRun) putOdd() {
	for n := range r.odd.Count {
		r.store.Put(fmt.Sprintf("%so%d", platform.UpstreamPrefix, n), r.odd.value())
	}
}

// check waits for as long as VMs that the store does not serve may take, and compares the
// usable upstreams of all VMs.
func (r *oddRun) check(ids ...string) {
	r.is.Helper()
	time.Sleep(6 * time.Second)
	for _, v := range r.vms {
		usable, all := []string{}, []string{}
		for _, u := range v.informer.Usable("s") {
			usable = append(usable, u.ID)
		}
		for _, u := range v.informer.Upstreams() {
			all = append(all, u.ID)
		}
		r.is.Equal(usable, ids)
		r.is.Equal(len(all), len(ids)) // no odd entry is called for reports or cache events
	}
	for _, v := range r.vms {
		sent := 0
		for _, replica := range v.informer.NewerReplicas(nil) {
			for _, e := range replica.Entries {
				sent += len(e.Value)
			}
		}
		r.is.True(sent < 1<<20) // the value of an odd entry is not passed on
	}
}

// checkLines checks that each odd entry is logged once, however often it is written, and
// one that replaces a sound entry once more.
func (r *oddRun) checkLines() {
	for _, out := range r.logs {
		lines := 0
		for _, line := range bytes.Split(out.Bytes(), []byte("\n")) {
			if bytes.Contains(line, []byte(`"entry_ignored"`)) {
				lines++
				r.is.True(len(line) < maxLineBytes)
			}
		}
		want := r.odd.Lines
		if want > 0 {
			want++
		}
		r.is.Equal(lines, want)
	}
}
