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

// EncodeValue returns the CBOR encoding of v.
func EncodeValue(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// WriteValue sends v, encoded in CBOR, as one message.
func WriteValue(ctx context.Context, ws *websocket.Conn, v any) error {
	data, err := EncodeValue(v)
	if err != nil {
		return err
	}
	return write(ctx, ws, data)
}

// WriteSequence sends head, encoded in CBOR, followed by a value that is encoded
// already, as one message.
func WriteSequence(ctx context.Context, ws *websocket.Conn, head any, encoded []byte) error {
	data, err := EncodeValue(head)
	if err != nil {
		return err
	}
	return write(ctx, ws, append(data, encoded...))
}

func write(ctx context.Context, ws *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

// ReadValue reads the next message and decodes it from CBOR into v.
func ReadValue(ctx context.Context, ws *websocket.Conn, v any) error {
	data, err := read(ctx, ws)
	if err != nil {
		return err
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// ReadSequence reads the next message and decodes the two values of WriteSequence
// from it.
func ReadSequence(ctx context.Context, ws *websocket.Conn, head, v any) error {
	data, err := read(ctx, ws)
	if err != nil {
		return err
	}
	rest, err := decMode.UnmarshalFirst(data, head)
	if err != nil {
		return fmt.Errorf("decode head of message: %w", err)
	}
	if err := decMode.Unmarshal(rest, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

func read(ctx context.Context, ws *websocket.Conn) ([]byte, error) {
	messageType, data, err := ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read from peer: %w", err)
	}
	if messageType != websocket.MessageBinary {
		return nil, errors.New("read from peer: message is not binary")
	}
	return data, nil
}
