package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

const (
	// maxCancels bounds the number of concurrent cancellations.
	maxCancels = 64
	// cancelTimeout bounds the time of one cancellation.
	cancelTimeout = 2 * time.Second
)

// Cancel sends target a request to stop the given attempt at request id. It is
// sent in the background, on a new connection. Cancel returns false if
// maxCancels cancellations are in progress.
func (c *Caller) Cancel(target Target, id string, attempt int) bool {
	select {
	case c.cancelSlots <- struct{}{}:
		go c.sendCancel(target, id, attempt)
		return true
	default:
		return false
	}
}

func (c *Caller) sendCancel(target Target, id string, attempt int) {
	defer func() { <-c.cancelSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	path := encoder.PathStreams + url.PathEscape(id) + fmt.Sprintf("?%s=%d", encoder.ParamAttempt, attempt)
	response, err := c.Do(ctx, target, Call{
		RequestID:         id,
		Attempt:           attempt,
		Method:            http.MethodDelete,
		Path:              path,
		NewConnection:     true,
		Running:           true,
		FirstByteDeadline: time.Now().Add(cancelTimeout),
		IdleTimeout:       cancelTimeout,
	})
	if err != nil {
		return
	}
	response.Discard()
}
