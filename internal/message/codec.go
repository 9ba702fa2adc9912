package message

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"

	"github.com/hamba/avro/v2"

	"beaconvane/internal/errcode"
)

const (
	kindBytes     = 1
	checksumBytes = 4
	// maxByteSlice, in bytes, is above any frame limit that the settings allow.
	maxByteSlice = 256 << 20
	// maxElements of an array; a frame that claims more is refused before memory is taken for
	// them. The longest arrays are rosters and routes, of some tens of thousands.
	maxElements = 1 << 18
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// codec lifts the library's limit of 1 MiB on a byte string: the frame limit of the settings
// bounds what is read before it comes here.
var codec = avro.Config{MaxByteSliceSize: maxByteSlice, MaxSliceAllocSize: maxElements}.Freeze()

// Encode returns the frame of a message: kind byte, Avro record, checksum. The checksum is needed
// since the library takes a record that ends early for one with empty fields.
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

// Decode reads a frame back into its message, by value. Errors have the code FrameBad.
func Decode(frame []byte) (any, error) {
	if len(frame) < kindBytes+checksumBytes {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("short frame"))
	}
	content := frame[:len(frame)-checksumBytes]
	checksum := binary.BigEndian.Uint32(frame[len(frame)-checksumBytes:])
	if checksum != crc32.Checksum(content, checksumTable) {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("checksum"))
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
