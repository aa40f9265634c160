package storer

import (
	"encoding/json"
	"errors"
	"strings"
)

// maxErrorBytes bounds the errors of Decode.
const maxErrorBytes = 256

// Decode decodes the JSON value of an entry, which another writer may have stored. Errors of
// package json repeat parts of a value; those of Decode are short, however large it is.
func Decode(value []byte, result any) error {
	err := json.Unmarshal(value, result)
	if err == nil || len(err.Error()) <= maxErrorBytes {
		return err
	}
	return errors.New(strings.ToValidUTF8(err.Error()[:maxErrorBytes], "") + "...")
}
