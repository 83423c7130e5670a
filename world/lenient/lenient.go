// Package lenient decodes messages with lists of which an entry may be malformed, such as one
// of another build. An entry that cannot be decoded is left out and reported with its place, and
// all others are decoded.
//
// Usage:
//
//	skipped, err := lenient.Unmarshal(data, response)
//	for _, entry := range skipped { logger.Warn("entry skipped", "place", entry.Place(), "error", entry.Err()) }
package lenient

import (
	"strconv"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Skipped is an entry that was left out.
type Skipped struct {
	place string
	err   error
}

// Place returns the name of the list and the position of the entry in it, from 0.
func (s Skipped) Place() string { return s.place }

// Err returns why the entry could not be decoded.
func (s Skipped) Err() error { return s.err }

// Unmarshal decodes a message. It fails only if the message as a whole or a field that is no
// list is malformed.
func Unmarshal(data []byte, m proto.Message) ([]Skipped, error) {
	err := proto.Unmarshal(data, m)
	if err == nil {
		return nil, nil
	}
	kept, skipped := Filter(data, m.ProtoReflect().Descriptor())
	if len(skipped) == 0 {
		return nil, errors.Wrap(err, "decode message")
	}
	return skipped, errors.Wrap(proto.Unmarshal(kept, m), "decode message")
}

// Filter returns an encoded message without the entries of its lists that cannot be decoded.
// From a place on at which no field begins the data is left as it is.
func Filter(data []byte, message protoreflect.MessageDescriptor) (kept []byte, skipped []Skipped) {
	positions := map[protowire.Number]int{}
	for len(data) > 0 {
		number, kind, tagBytes := protowire.ConsumeTag(data)
		if tagBytes < 0 {
			break
		}
		valueBytes := protowire.ConsumeFieldValue(number, kind, data[tagBytes:])
		if valueBytes < 0 {
			break
		}
		field, rest := data[:tagBytes+valueBytes], data[tagBytes+valueBytes:]
		data = rest
		list := message.Fields().ByNumber(number)
		if list == nil || !list.IsList() || kind != protowire.BytesType {
			kept = append(kept, field...)
			continue
		}
		if err := check(field, message, list); err != nil {
			place := string(list.Name()) + "[" + strconv.Itoa(positions[number]) + "]"
			skipped = append(skipped, Skipped{place: place, err: err})
		} else {
			kept = append(kept, field...)
		}
		positions[number]++
	}
	return append(kept, data...), skipped
}

// check decodes a message that has only one entry of one list.
func check(field []byte, message protoreflect.MessageDescriptor, list protoreflect.FieldDescriptor) error {
	entry, err := newMessage(message)
	if err != nil {
		return err
	}
	return errors.Wrapf(proto.Unmarshal(field, entry), "decode entry of %s", list.Name())
}
