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
	// maxCancels bounds the cancellations under way at one time.
	maxCancels = 64
	// cancelTimeout bounds one cancellation.
	cancelTimeout = 2 * time.Second
)

// Cancel stops in the background what target does for attempt at request id,
// on a new connection. It reports false where too many are under way.
func (c *Caller) Cancel(target Target, id string, attempt int) bool {
	select {
	case c.cancels <- struct{}{}:
		go c.runCancel(target, id, attempt)
		return true
	default:
		return false
	}
}

func (c *Caller) runCancel(target Target, id string, attempt int) {
	defer func() { <-c.cancels }()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	path := encoder.PathStreams + url.PathEscape(id) + fmt.Sprintf("?%s=%d", encoder.ParamAttempt, attempt)
	answer, err := c.Do(ctx, target, Call{
		RequestID:     id,
		Attempt:       attempt,
		Method:        http.MethodDelete,
		Path:          path,
		NewConnection: true,
		FirstByteBy:   time.Now().Add(cancelTimeout),
		IdleTimeout:   cancelTimeout,
	})
	if err != nil {
		return
	}
	answer.Discard()
}
