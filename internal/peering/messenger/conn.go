package messenger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Path is the HTTP path at which controllers accept connections.
const Path = "/v1/peer"

// maxMessageBytes bounds one message; the largest holds a bundle.
const maxMessageBytes = 2 << 20

// writeTimeout bounds the write of one message.
const writeTimeout = 5 * time.Second

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	return mode
}

// Encode returns the CBOR encoding of m.
func Encode(m Message) ([]byte, error) {
	data, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// Decode decodes a message from CBOR and validates it.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return Message{}, classifier.Wrap(classifier.MessageInvalid, err, "decode message")
	}
	if err := m.Check(); err != nil {
		return Message{}, classifier.Wrap(classifier.MessageInvalid, err, "validate message")
	}
	return m, nil
}

// Conn is a connection to another process of the deployment. One goroutine may read
// while others write.
type Conn struct {
	ws *websocket.Conn
}

// Dial opens a connection to the controller at url.
func Dial(ctx context.Context, client *http.Client, url string) (*Conn, error) {
	ws, err := DialWebSocket(ctx, client, url+Path, maxMessageBytes)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return &Conn{ws: ws}, nil
}

// Accept accepts an incoming connection.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accept connection from peer: %w", err)
	}
	ws.SetReadLimit(maxMessageBytes)
	return &Conn{ws: ws}, nil
}

// Write encodes and sends m.
func (c *Conn) Write(ctx context.Context, m Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

// Read returns the next message and skips those that wrap ErrUnknownMessage.
func (c *Conn) Read(ctx context.Context) (Message, error) {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return Message{}, fmt.Errorf("read from peer: %w", err)
		}
		m, err := Decode(data)
		if !errors.Is(err, ErrUnknownMessage) {
			return m, err
		}
	}
}

// Close closes the connection without a closing handshake.
func (c *Conn) Close() {
	_ = c.ws.CloseNow()
}
