package messenger

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/coder/websocket"
)

// DialWebSocket opens a WebSocket connection that receives messages of up to limit
// bytes.
func DialWebSocket(ctx context.Context, client *http.Client, url string, limit int64) (*websocket.Conn, error) {
	ws, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(limit)
	return ws, nil
}

// WriteValue sends v, encoded in CBOR, as one message.
func WriteValue(ctx context.Context, ws *websocket.Conn, v any) error {
	data, err := encMode.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

// ReadValue reads the next message and decodes it from CBOR into v.
func ReadValue(ctx context.Context, ws *websocket.Conn, v any) error {
	messageType, data, err := ws.Read(ctx)
	if err != nil {
		return fmt.Errorf("read from peer: %w", err)
	}
	if messageType != websocket.MessageBinary {
		return errors.New("read from peer: message is not binary")
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
