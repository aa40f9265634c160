package receiver

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/kataras/iris/v12"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 8 << 20
	// bodyCopies is the number of further copies of a body: the decoded prompt, and the
	// request that is encoded for the upstream.
	bodyCopies = 2
)

// readDeadlinePassed is a read deadline in the past.
var readDeadlinePassed = time.Unix(1, 0)

// openMemory returns the reservation of the memory of a request.
func (r *Receiver) openMemory(ctx iris.Context) *reserver.Reservation {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	memory := r.cfg.Memory.OpenRequest(func() { _ = control.SetReadDeadline(readDeadlinePassed) }) // fails only on a closed connection
	memory.Join(ctx.Request().Context())
	return memory
}

// readBody reads the request body up to maxBodyBytes, and reserves the memory for it and its
// copies. Its errors have the kind that is reported to the caller.
func readBody(ctx iris.Context, memory *reserver.Reservation) ([]byte, error) {
	announced := ctx.Request().ContentLength
	if announced > maxBodyBytes {
		return nil, classifier.New(classifier.TooLarge, "the body is over %d bytes", maxBodyBytes)
	}
	body, err := memory.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes), announced, maxBodyBytes+1)
	if err == nil {
		err = memory.Complete()
	}
	if err == nil {
		err = memory.ReserveCopies(bodyCopies, int64(len(body)))
	}
	if err != nil {
		memory.Release()
		return nil, bodyError(ctx, err)
	}
	return body, nil
}

// bodyError classifies an error of reading the body.
func bodyError(ctx iris.Context, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return classifier.Wrap(classifier.TooLarge, err, "the body is over %d bytes", maxBodyBytes)
	case errors.Is(err, reserver.ErrNoMemory), errors.Is(err, reserver.ErrEvicted):
		// net/http reads the rest of the body before it writes the response otherwise.
		ctx.Header("Connection", "close")
		return classifier.Wrap(classifier.Overloaded, err, "memory is short")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(classifier.CallerTooSlow, err, "the body did not arrive in time")
	}
	return classifier.Wrap(classifier.CallerGone, err, "the body did not arrive")
}
