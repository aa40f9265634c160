package screener

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrTrailer is returned in place of io.EOF by the body of a response whose trailer is
// malformed.
var ErrTrailer = errors.New("response has a malformed trailer")

// CheckTrailer makes the body of a response check its trailer.
func CheckTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
}

// trailedBody is a body that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if trailerErr := checkNames(b.response.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

// checkNames returns ErrTrailer if a name in a trailer is malformed. Names without values were
// only announced in the head.
func checkNames(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrTrailer, quoted([]byte(name)))
		}
	}
	return nil
}
