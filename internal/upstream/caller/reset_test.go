package caller_test

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/issuer"
	"gentianstep.example/gentianstep/internal/testing/resetter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// resetRow is a response that begins within the upload of its request.
type resetRow struct {
	Name        string `json:"name"`
	UploadBytes int    `json:"upload_bytes"`
	resetter.Answer
	TLS bool `json:"tls"`
	// Status and Body are those of a whole response; a status of 0 expects an error.
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// TestResetWithinUploadEndsNoResponse guards against a part of a response without a length
// that looks whole since the write of the request got the reset of the connection.
func TestResetWithinUploadEndsNoResponse(t *testing.T) {
	t.Parallel()
	var rows []resetRow
	scripter.Read(t, "testdata/resets.json", &rows)
	for _, row := range rows {
		for name, late := range map[string]bool{"write ends first": false, "read ends first": true} {
			t.Run(row.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				row.check(t, late)
			})
		}
	}
}

func (row resetRow) check(t *testing.T, late bool) {
	is := is.New(t)
	cfg := resetter.Config{Answers: []resetter.Answer{row.Answer}, LateWrite: late}
	if row.TLS {
		authority := issuer.New(t, t.TempDir(), "upstreams")
		files := authority.Issue("up", netip.MustParseAddr("127.0.0.1"))
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		is.NoErr(err)
		cfg.ServerTLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
		cfg.ClientTLS = &tls.Config{RootCAs: authority.Pool(), ServerName: "127.0.0.1", MinVersion: tls.VersionTLS13}
	}
	u := resetter.Start(t, cfg)
	var broken []caller.BrokenReason
	c := caller.New(caller.Config{Dial: u.Dial, OnBroken: func(reason caller.BrokenReason) { broken = append(broken, reason) }})
	defer c.Close()
	address := netip.MustParseAddrPort(u.Address())
	response, err := c.Do(t.Context(), caller.Target{Name: "up", Address: address}, caller.Call{
		Method: http.MethodPost, Path: "/", Body: make([]byte, row.UploadBytes), NewConnection: true,
		FirstByteDeadline: time.Now().Add(time.Minute), IdleTimeout: time.Minute,
	})
	is.NoErr(err)
	defer response.Discard()
	is.True(response.Status >= http.StatusOK)
	body, err := io.ReadAll(response)
	if err == nil {
		err = response.CheckBody()
	}
	if err == nil {
		err = c.CheckEnd(t.Context(), address, response)
	}
	if row.Status == 0 {
		is.True(err != nil) // a part does not look whole
		is.Equal(broken, []caller.BrokenReason{caller.BrokenReset})
		return
	}
	is.Equal(len(broken), 0)
	is.NoErr(err)
	is.Equal(response.Status, row.Status)
	is.Equal(string(body), row.Body)
}
