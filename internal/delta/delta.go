// Package delta encodes a document as its difference from an earlier one, in compressed form. A receiver
// that has the earlier document, the base, rebuilds the new one, the target, from the difference. Against
// an empty base the difference is the whole target, compressed.
//
// A difference is a sequence of instructions, compressed with DEFLATE. Each instruction starts with an
// unsigned varint. Its lowest bit tells a copy from the base (a varint with the offset follows) from an
// insertion (the bytes follow); the remaining bits are the length.
//
// A difference carries no checksum: the caller compares a digest of the document that it has rebuilt.
package delta

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

var (
	// ErrMalformed is returned for a difference that cannot be read.
	ErrMalformed = errors.New("delta: malformed difference")
	// ErrTooLarge is returned when the rebuilt document exceeds the limit.
	ErrTooLarge = errors.New("delta: document larger than the limit")
)

// Encode returns the compressed difference that turns base into target.
func Encode(base, target []byte) []byte {
	instructions := findInstructions(base, target)
	var compressed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer) //nolint:forcetypeassert // the pool holds nothing else
	defer compressors.Put(compressor)
	compressor.Reset(&compressed)
	// Writes to a buffer in memory do not fail.
	_, _ = compressor.Write(instructions)
	_ = compressor.Close()
	return compressed.Bytes()
}

// compressors are reused, since each one holds several hundred kilobytes of tables.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is a constant that the library accepts: a programming error.
		panic("delta: " + err.Error())
	}
	return compressor
}}

// Apply rebuilds the target from the base and a difference. The result holds at most limit bytes. The
// difference may come from anywhere: Apply returns an error that is ErrMalformed or ErrTooLarge, or a
// document within the limit.
func Apply(base, difference []byte, limit int64) ([]byte, error) {
	decompressor := flate.NewReader(bytes.NewReader(difference))
	defer decompressor.Close()
	// Instructions that build a document of limit bytes are hardly longer than it.
	instructions, err := io.ReadAll(io.LimitReader(decompressor, 2*limit+1))
	if err != nil {
		return nil, errors.Join(ErrMalformed, err)
	}
	if int64(len(instructions)) > 2*limit {
		return nil, ErrTooLarge
	}
	return applyInstructions(base, instructions, limit)
}
