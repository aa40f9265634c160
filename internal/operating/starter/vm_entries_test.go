package starter

import (
	"bytes"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
)

// TestOddEntriesOfVMs guards against an entry of another writer among those of the VMs that
// counts as a VM, hides one, or is logged again whenever another entry changes.
func TestOddEntriesOfVMs(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		// Entries are beside those of n1 and n2, by key without the prefix.
		Entries map[string]string `json:"entries"`
		// Nodes are those that are found, and Holder is that of the lease.
		Nodes  []string `json:"nodes"`
		Holder string   `json:"holder"`
		// Lines is the number of lines on ignored entries.
		Lines int `json:"lines"`
	}
	scripter.Read(t, "testdata/vm_entries.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			i := informer.New(informer.Config{
				Codec:          platform.Codec{},
				OperatorPrefix: platform.OperatorPrefix,
				UpstreamPrefix: platform.UpstreamPrefix,
				VMPrefix:       systemPrefix,
				Log:            logrus.NewEntry(log),
			})
			d := &vmDirectory{informer: i, log: logrus.NewEntry(log)}
			for revision := uint64(1); revision <= 9; revision += 4 {
				entries := []storer.Entry{
					{Key: vmPrefix + "n1", Value: []byte(`{"node":"n1","peer_address":"10.0.0.1:7340"}`), Revision: 1},
					{Key: vmPrefix + "n2", Value: []byte(`{"node":"n2","peer_address":"10.0.0.2:7340"}`), Revision: revision},
				}
				for _, key := range slices.Sorted(maps.Keys(row.Entries)) {
					entries = append(entries, storer.Entry{Key: systemPrefix + key, Value: []byte(row.Entries[key]), Revision: 1})
				}
				i.Replace(time.Unix(1_700_000_000, 0), systemPrefix, entries, storer.Version{Revision: revision})
				vms := d.load()
				nodes := make([]string, 0, len(vms.vms))
				for _, vm := range vms.vms {
					nodes = append(nodes, vm.Node)
				}
				slices.Sort(nodes)
				is.Equal(nodes, row.Nodes)
				is.Equal(vms.leaseHolder, row.Holder)
				vm, ok := vms.find("n1")
				is.True(ok)
				is.Equal(vm.PeerAddress.String(), "10.0.0.1:7340")
			}
			is.Equal(bytes.Count(out.Bytes(), []byte("entry_ignored")), row.Lines)
		})
	}
}
