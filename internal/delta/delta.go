// Package delta encodes a document as its difference from an earlier one, in compressed
// form. A receiver that holds the earlier document rebuilds the new one from the
// difference; against an empty base the difference is the whole document, compressed.
//
// A difference is a sequence of instructions. Each one starts with an unsigned varint:
// its lowest bit tells a copy from the base (a varint offset follows) from an insertion
// (the bytes follow); the remaining bits are the length. The sequence is compressed
// with DEFLATE. A difference carries no checksum: the caller compares a digest of the
// document it has rebuilt.
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"
	"math/bits"
	"sync"
)

// blockBytes is the size of the blocks of the base that are indexed. A shared run is
// found when it covers one such block, thus always from twice this length on.
const blockBytes = 32

// rollFactor is the multiplier of the rolling hash over a block.
const rollFactor = 0x9E3779B1

// Kinds of an instruction, in the lowest bit of its first varint.
const (
	kindInsert = 0
	kindCopy   = 1
	kindBits   = 1
)

var (
	// ErrMalformed is returned for a difference that cannot be read.
	ErrMalformed = errors.New("delta: malformed difference")
	// ErrTooLarge is returned when the rebuilt document exceeds the limit.
	ErrTooLarge = errors.New("delta: document larger than the limit")
)

// Encode returns the compressed difference that turns base into target.
func Encode(base, target []byte) []byte {
	instructions := instructionsFor(base, target)
	var packed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&packed)
	// Writes to a buffer in memory do not fail.
	_, _ = compressor.Write(instructions)
	_ = compressor.Close()
	return packed.Bytes()
}

// compressors are reused: each one holds several hundred kilobytes of tables.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("delta: " + err.Error())
	}
	return compressor
}}

// Apply rebuilds the target from the base and a difference. The result holds at most
// limit bytes.
func Apply(base, difference []byte, limit int64) ([]byte, error) {
	expander := flate.NewReader(bytes.NewReader(difference))
	defer expander.Close()
	// Instructions that build a document of limit bytes are hardly longer than it.
	instructions, err := io.ReadAll(io.LimitReader(expander, 2*limit+1))
	if err != nil {
		return nil, errors.Join(ErrMalformed, err)
	}
	if int64(len(instructions)) > 2*limit {
		return nil, ErrTooLarge
	}
	return execute(base, instructions, limit)
}

// execute runs decompressed instructions against the base.
func execute(base, instructions []byte, limit int64) ([]byte, error) {
	target := []byte{}
	for len(instructions) > 0 {
		head, size := binary.Uvarint(instructions)
		if size <= 0 {
			return nil, ErrMalformed
		}
		instructions = instructions[size:]
		length := head >> kindBits
		if length > uint64(limit)-uint64(len(target)) {
			return nil, ErrTooLarge
		}
		if head&kindCopy == kindInsert {
			if length > uint64(len(instructions)) {
				return nil, ErrMalformed
			}
			target = append(target, instructions[:length]...)
			instructions = instructions[length:]
			continue
		}
		offset, size := binary.Uvarint(instructions)
		if size <= 0 || offset > uint64(len(base)) || length > uint64(len(base))-offset {
			return nil, ErrMalformed
		}
		instructions = instructions[size:]
		target = append(target, base[offset:offset+length]...)
	}
	return target, nil
}

// instructionsFor finds the runs of target that stand in base as well, greedily from
// the start to the end of target.
func instructionsFor(base, target []byte) []byte {
	out := instructionWriter{target: target}
	blocks := indexBlocks(base)
	at := 0
	hash := hashOf(target, at)
	for at+blockBytes <= len(target) {
		offset, found := blocks.find(hash, target[at:at+blockBytes])
		if !found {
			hash = roll(hash, target, at)
			at++
			continue
		}
		start, length := extend(base, target, offset, at, out.written)
		out.copy(offset-(at-start), start, length)
		at = start + length
		hash = hashOf(target, at)
	}
	out.insertUpTo(len(target))
	return out.encoded
}

// extend grows a match of one block in both directions. It starts no earlier than floor
// in the target, and returns where it starts there and its length.
func extend(base, target []byte, offset, at, floor int) (start, length int) {
	begin, end := 0, blockBytes
	for at+begin > floor && offset+begin > 0 && base[offset+begin-1] == target[at+begin-1] {
		begin--
	}
	for at+end < len(target) && offset+end < len(base) && base[offset+end] == target[at+end] {
		end++
	}
	return at + begin, end - begin
}

// instructionWriter collects instructions; written is how much of the target they
// cover so far.
type instructionWriter struct {
	target  []byte
	encoded []byte
	written int
}

func (w *instructionWriter) insertUpTo(end int) {
	if end > w.written {
		w.encoded = binary.AppendUvarint(w.encoded, uint64(end-w.written)<<kindBits|kindInsert)
		w.encoded = append(w.encoded, w.target[w.written:end]...)
		w.written = end
	}
}

func (w *instructionWriter) copy(offset, start, length int) {
	w.insertUpTo(start)
	w.encoded = binary.AppendUvarint(w.encoded, uint64(length)<<kindBits|kindCopy)
	w.encoded = binary.AppendUvarint(w.encoded, uint64(offset))
	w.written = start + length
}

// blockIndex finds blocks of the base by their hash. Of blocks that share a slot the
// first one is kept.
type blockIndex struct {
	base  []byte
	slots []int32 // one more than the block's number; 0 is empty
	shift uint
}

func indexBlocks(base []byte) blockIndex {
	blocks := len(base) / blockBytes
	slotBits := uint(bits.Len(uint(blocks*2 + 1)))
	index := blockIndex{base: base, slots: make([]int32, 1<<slotBits), shift: 32 - slotBits}
	for block := range blocks {
		slot := index.slotOf(hashOf(base, block*blockBytes))
		if index.slots[slot] == 0 {
			index.slots[slot] = int32(block + 1)
		}
	}
	return index
}

// slotOf spreads a hash over the slots by its upper bits.
func (x blockIndex) slotOf(hash uint32) uint32 { return hash * rollFactor >> x.shift }

func (x blockIndex) find(hash uint32, block []byte) (offset int, found bool) {
	number := x.slots[x.slotOf(hash)]
	if number == 0 {
		return 0, false
	}
	offset = int(number-1) * blockBytes
	return offset, bytes.Equal(x.base[offset:offset+blockBytes], block)
}

// leadWeight is rollFactor to the power of blockBytes - 1: the weight of the first byte
// of a block in its hash.
var leadWeight = func() uint32 {
	weight := uint32(1)
	for range blockBytes - 1 {
		weight *= rollFactor
	}
	return weight
}()

// hashOf hashes the block that begins at a position; 0 where less than a block is left.
func hashOf(document []byte, at int) uint32 {
	if at+blockBytes > len(document) {
		return 0
	}
	hash := uint32(0)
	for _, value := range document[at : at+blockBytes] {
		hash = hash*rollFactor + uint32(value)
	}
	return hash
}

// roll moves a hash on by one byte, from the block at a position to the next one.
func roll(hash uint32, document []byte, at int) uint32 {
	if at+blockBytes >= len(document) {
		return 0
	}
	hash -= uint32(document[at]) * leadWeight
	return hash*rollFactor + uint32(document[at+blockBytes])
}
