package message

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"testing"
)

// withChecksum returns a frame with a valid checksum, so that the fuzzer reaches the decoding of records.
func withChecksum(kind byte, record []byte) []byte {
	frame := append([]byte{kind}, record...)
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, checksumTable))
}

// filled returns a value of a type in which every field is set. Slices are empty below depth levels.
func filled(goType reflect.Type, depth int) reflect.Value {
	value := reflect.New(goType).Elem()
	switch goType.Kind() {
	case reflect.String:
		value.SetString("text")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int64:
		value.SetInt(1 << 40)
	case reflect.Float64:
		value.SetFloat(1.5)
	case reflect.Slice:
		if depth > 0 {
			value = reflect.Append(value, filled(goType.Elem(), depth-1))
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(goType))
		value.SetMapIndex(reflect.ValueOf("key"), filled(goType.Elem(), depth))
	case reflect.Struct:
		for index := range goType.NumField() {
			value.Field(index).Set(filled(goType.Field(index).Type, depth))
		}
	}
	return value
}

// FuzzDecode checks that any frame is either rejected or decoded to a message that is unchanged after
// another round of encoding and decoding.
func FuzzDecode(f *testing.F) {
	for kind, entry := range byKind {
		for _, depth := range []int{0, 2} {
			frame, err := Encode(filled(entry.goType, depth).Interface())
			if err != nil {
				f.Fatalf("%s: %v", entry.goType, err)
			}
			f.Add(kind, frame[1:len(frame)-checksumBytes])
		}
		f.Add(kind, []byte{})
		f.Add(kind, []byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	}
	f.Fuzz(func(t *testing.T, kind byte, record []byte) {
		decoded, err := Decode(withChecksum(kind, record))
		if err != nil {
			return
		}
		frame, err := Encode(decoded)
		if err != nil {
			t.Fatalf("%T was decoded but can't be encoded: %v", decoded, err)
		}
		redecoded, err := Decode(frame)
		if err != nil {
			t.Fatalf("%T was encoded but can't be decoded: %v", decoded, err)
		}
		if fmt.Sprintf("%+v", redecoded) != fmt.Sprintf("%+v", decoded) {
			t.Fatalf("decoded %+v, after another round trip %+v", decoded, redecoded)
		}
	})
}

// checksumValid reports whether the checksum of a frame is valid, independently of Decode.
func checksumValid(frame []byte) bool {
	if len(frame) < 1+checksumBytes {
		return false
	}
	content, sum := frame[:len(frame)-checksumBytes], frame[len(frame)-checksumBytes:]
	return crc32.Checksum(content, checksumTable) == binary.BigEndian.Uint32(sum)
}

// FuzzDecodeUnsealed checks that a frame with an invalid checksum is never decoded.
func FuzzDecodeUnsealed(f *testing.F) {
	f.Add([]byte{})
	f.Add(withChecksum(1, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, frame []byte) {
		decoded, err := Decode(frame)
		if err == nil && !checksumValid(frame) {
			t.Fatalf("%T was decoded from a frame with an invalid checksum", decoded)
		}
	})
}

// An array that claims more than maxElements elements is rejected before memory is allocated for it. Without
// the limit, the seeds of the fuzzer made the process allocate 96 GiB, which ended it.
func TestOversizedArrayClaimIsRejected(t *testing.T) {
	count := []byte{0xff, 0xff, 0xff, 0xff, 0x0f}
	for kind, entry := range byKind {
		beginsWithArray := entry.goType.NumField() > 0 && entry.goType.Field(0).Type.Kind() == reflect.Slice
		if _, err := Decode(withChecksum(kind, count)); err == nil && beginsWithArray {
			t.Errorf("%s was decoded from a frame that claims 2^32 elements", entry.goType)
		}
	}
}
