package message

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"reflect"

	"github.com/hamba/avro/v2"

	"beaconvane/internal/errcode"
)

const (
	kindBytes     = 1
	checksumBytes = 4
	// maxByteSlice is the length limit, in bytes, of a byte string that is decoded. It exceeds every
	// frame limit that the settings allow.
	maxByteSlice = 256 << 20
	// maxElements is the maximum number of elements of an array. A frame that claims more is rejected
	// before memory is allocated for them. The longest arrays, rosters and routes, have some tens of
	// thousands of elements.
	maxElements = 1 << 18
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// codec raises the library's limit of 1 MiB for a byte string, since the frame limit in the settings
// already bounds what is read from a connection.
var codec = avro.Config{MaxByteSliceSize: maxByteSlice, MaxSliceAllocSize: maxElements}.Freeze()

var (
	errShortFrame  = errors.New("frame is shorter than its kind byte and checksum")
	errPlaceholder = errors.New("the placeholder of a body occurs more than once")
	errChecksum    = errors.New("frame checksum does not match its content")
)

// Encode returns the frame of a message: kind byte, Avro record, checksum. The checksum is needed
// because the library decodes a truncated record as one with empty fields. An error has the code
// FrameBad and means that the type is not registered in kinds.go.
func Encode(message any) ([]byte, error) {
	entry, found := byType[reflect.TypeOf(message)]
	if !found {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, fmt.Errorf("message type %T is not registered", message))
	}
	body, placeholder, rest := takeBody(message)
	record, err := codec.Marshal(entry.schema, rest)
	if err != nil {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, err)
	}
	frame, spliced := []byte(nil), false
	if body != nil {
		frame, spliced = spliceBody(entry.kind, record, placeholder, body)
	}
	if body != nil && !spliced {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, errPlaceholder)
	}
	if !spliced {
		frame = make([]byte, 0, kindBytes+len(record)+checksumBytes)
		frame = append(frame, entry.kind)
		frame = append(frame, record...)
	}
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, checksumTable)), nil
}

// Decode returns the message in a frame, by value. Errors have the code FrameBad. The frame may be from an
// untrusted source: an array or byte string whose claimed length exceeds the limits is rejected before
// memory is allocated for it.
func Decode(frame []byte) (any, error) {
	if len(frame) < kindBytes+checksumBytes {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, errShortFrame)
	}
	content := frame[:len(frame)-checksumBytes]
	checksum := binary.BigEndian.Uint32(frame[len(frame)-checksumBytes:])
	if checksum != crc32.Checksum(content, checksumTable) {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, errChecksum)
	}
	entry, found := byKind[content[0]]
	if !found {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("message kind %d is not registered", content[0]))
	}
	target := reflect.New(entry.goType)
	if err := codec.Unmarshal(entry.schema, content[kindBytes:], target.Interface()); err != nil {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, err)
	}
	return target.Elem().Interface(), nil
}
