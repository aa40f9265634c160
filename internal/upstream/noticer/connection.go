package noticer

import (
	"context"
	"net/http"
	"net/http/httptrace"
)

// AdmitOnConnection returns request with a check of its admission once it has a
// connection, since opening one may take long. A request that is not admitted ends
// with the error of admit as its cause, before a byte of it is sent.
func AdmitOnConnection(request *http.Request, admit func() error) (*http.Request, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(request.Context())
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if err := admit(); err != nil {
			cancel(err)
			_ = info.Conn.Close() // the transport may write before it notices the end of ctx
		}
	}}
	return request.WithContext(httptrace.WithClientTrace(ctx, trace)), func() { cancel(nil) }
}
