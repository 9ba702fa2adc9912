// Package delta encodes a document as its compressed difference from an earlier one. A receiver that has
// the earlier document, the base, rebuilds the new one, the target, from the difference. With an empty base
// the difference contains the complete target in compressed form.
//
// A difference is a sequence of instructions, compressed with DEFLATE. Each instruction starts with an
// unsigned varint. Its lowest bit tells a copy from the base (a varint with the offset follows) from an
// insertion (the bytes follow); the remaining bits are the length.
//
// A difference contains no checksum: the caller must verify the rebuilt document against a digest.
package delta

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

var (
	// ErrMalformed is returned for a difference that cannot be decoded or that doesn't fit the base.
	ErrMalformed = errors.New("delta: malformed difference")
	// ErrTooLarge is returned when the rebuilt document exceeds the limit.
	ErrTooLarge = errors.New("delta: document larger than the limit")
)

// Encode returns the compressed difference that turns base into target.
func Encode(base, target []byte) []byte {
	instructions := findInstructions(base, target)
	var compressed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer) //nolint:forcetypeassert // the pool contains only *flate.Writer
	defer compressors.Put(compressor)
	compressor.Reset(&compressed)
	// Writes to a buffer in memory do not fail.
	_, _ = compressor.Write(instructions)
	_ = compressor.Close()
	return compressed.Bytes()
}

// compressors is a pool, since each compressor allocates several hundred kilobytes of tables.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is a constant that the library accepts: a programming error.
		panic("delta: " + err.Error())
	}
	return compressor
}}

// Apply rebuilds the target from the base and a difference. The difference may come from an untrusted
// source: Apply returns a document of at most limit bytes, or an error that is ErrMalformed or ErrTooLarge.
func Apply(base, difference []byte, limit int64) ([]byte, error) {
	decompressor := flate.NewReader(bytes.NewReader(difference))
	defer decompressor.Close()
	// The instructions for a document of limit bytes are hardly longer than the document, so twice the
	// limit is enough.
	instructions, err := io.ReadAll(io.LimitReader(decompressor, 2*limit+1))
	if err != nil {
		return nil, errors.Join(ErrMalformed, err)
	}
	if int64(len(instructions)) > 2*limit {
		return nil, ErrTooLarge
	}
	return applyInstructions(base, instructions, limit)
}
