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
	// maxByteSlice is the longest byte string that is read. It is above any frame limit that the
	// settings allow.
	maxByteSlice = 256 << 20
	// maxElements is the most elements of an array. A frame that claims more is refused before
	// memory is allocated for them. The longest arrays, rosters and routes, have some tens of
	// thousands of elements.
	maxElements = 1 << 18
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// codec raises the library's limit of 1 MiB for a byte string, since the frame limit of the settings
// bounds what is read from a connection.
var codec = avro.Config{MaxByteSliceSize: maxByteSlice, MaxSliceAllocSize: maxElements}.Freeze()

var (
	errShortFrame = errors.New("short frame")
	errChecksum   = errors.New("checksum")
)

// Encode returns the frame of a message: kind byte, Avro record, checksum. The checksum is needed
// because the library reads a truncated record as one with empty fields. An error has the code
// FrameBad and means that the type is not registered in kinds.go.
func Encode(message any) ([]byte, error) {
	entry, found := byType[reflect.TypeOf(message)]
	if !found {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, fmt.Errorf("unknown type %T", message))
	}
	record, err := codec.Marshal(entry.schema, message)
	if err != nil {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, err)
	}
	frame := make([]byte, 0, kindBytes+len(record)+checksumBytes)
	frame = append(frame, entry.kind)
	frame = append(frame, record...)
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, checksumTable)), nil
}

// Decode returns the message of a frame, by value. Errors have the code FrameBad. The frame may come
// from anywhere: an array or a byte string that claims to be longer than any message holds is refused
// before memory is allocated for it.
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
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("unknown kind %d", content[0]))
	}
	target := reflect.New(entry.goType)
	if err := codec.Unmarshal(entry.schema, content[kindBytes:], target.Interface()); err != nil {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, err)
	}
	return target.Elem().Interface(), nil
}
