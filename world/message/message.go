// Package message counts the entries of a Twirp message before it is decoded. An entry
// takes hundreds of bytes in memory, also one that is two bytes long on the wire.
//
// Usage:
//
//	entries := message.Entries(r, body)
package message

import (
	"bytes"
	"net/http"
	"path"
	"strings"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// EntryBytes is what an entry takes at most: the largest message of the system, and its
// place in a list that grew.
const EntryBytes = 512

// maxDepth bounds the recursion into messages within messages. Those of the system are
// less deep.
const maxDepth = 32

// Entries returns the number of messages within the body of a Twirp request, also of one
// that cannot be decoded.
func Entries(r *http.Request, body []byte) int {
	if strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") {
		return bytes.Count(body, []byte{'{'}) + bytes.Count(body, []byte{','})
	}
	input := inputOf(r.URL.Path)
	if input == nil {
		return 0
	}
	return count(input, body, 0)
}

// inputOf returns the type of the request of /twirp/PACKAGE.SERVICE/METHOD, nil if there is
// none.
func inputOf(url string) protoreflect.MessageDescriptor {
	service := protoreflect.FullName(path.Base(path.Dir(url)))
	found := wire.File_wire_proto.Services().ByName(service.Name())
	if found == nil || found.FullName() != service {
		return nil
	}
	method := found.Methods().ByName(protoreflect.Name(path.Base(url)))
	if method == nil {
		return nil
	}
	return method.Input()
}

// count counts the fields that are kept apart: messages, texts and numbers that do not
// share the space of the message that they are in.
func count(message protoreflect.MessageDescriptor, body []byte, depth int) int {
	total := 0
	for len(body) > 0 {
		number, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return total
		}
		value := body[n:]
		size := protowire.ConsumeFieldValue(number, kind, value)
		if size < 0 {
			return total
		}
		if field := message.Fields().ByNumber(number); field == nil || field.IsList() || field.IsMap() || field.Message() != nil {
			total++
			if kind == protowire.BytesType && field != nil && field.Message() != nil && depth < maxDepth {
				inner, _ := protowire.ConsumeBytes(value)
				total += count(field.Message(), inner, depth+1)
			}
		}
		body = value[size:]
	}
	return total
}
