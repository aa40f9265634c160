package keeper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
)

// errorName returns the name that test rows use for the error of a call.
func errorName(err error) string {
	names := []struct {
		err  error
		name string
	}{
		{storer.ErrNotFound, "not_found"},
		{storer.ErrConflict, "conflict"},
		{storer.ErrLeaseGone, "lease_gone"},
		{storer.ErrNotChanged, "not_changed"},
		{storer.ErrTooLarge, "too_large"},
		{storer.ErrRateLimited, "rate_limited"},
		{context.DeadlineExceeded, "timeout"},
	}
	if err == nil {
		return "ok"
	}
	for _, n := range names {
		if errors.Is(err, n.err) {
			return n.name
		}
	}
	return "unknown"
}

func checkResult(s step, r result) error {
	if got := errorName(r.err); got != s.Want {
		return fmt.Errorf("got %s (%w), want %s", got, r.err, s.Want)
	}
	if s.Do != "put" && s.Value != "" && string(r.entry.Value) != s.Value {
		return fmt.Errorf("got value %q, want %q", r.entry.Value, s.Value)
	}
	if s.Do == "list" && strings.Join(r.keys, " ") != s.Keys {
		return fmt.Errorf("got keys %v, want %s", r.keys, s.Keys)
	}
	return nil
}

func checkCalls(got, want keeper.Calls) error {
	if got != want {
		return fmt.Errorf("got calls %+v, want %+v", got, want)
	}
	return nil
}

// controlClient sets faults and reads call counts over HTTP.
type controlClient struct {
	is     *is.I
	client *http.Client
}

func (c controlClient) do(method, path string, body []byte, responseBody any) {
	request, err := http.NewRequest(method, "http://platform"+path, bytes.NewReader(body)) //nolint:noctx // the pipe is closed when the test ends
	c.is.NoErr(err)
	response, err := c.client.Do(request)
	c.is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	c.is.Equal(response.StatusCode, http.StatusOK)
	c.is.NoErr(json.NewDecoder(response.Body).Decode(responseBody))
}

func (c controlClient) set(f keeper.Faults) {
	body, err := json.Marshal(f)
	c.is.NoErr(err)
	c.do(http.MethodPut, keeper.PathFaults, body, &struct{}{})
}

func (c controlClient) calls() keeper.Calls {
	var calls keeper.Calls
	c.do(http.MethodGet, keeper.PathCalls, nil, &calls)
	return calls
}
