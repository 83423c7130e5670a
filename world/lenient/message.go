package lenient

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// newMessage returns an empty message of a generated type.
func newMessage(message protoreflect.MessageDescriptor) (proto.Message, error) {
	found, err := protoregistry.GlobalTypes.FindMessageByName(message.FullName())
	if err != nil {
		return nil, errors.Wrap(err, "find message type")
	}
	return found.New().Interface(), nil
}
