package delta

import "encoding/binary"

// Kinds of an instruction, in the lowest bit of its first varint.
const (
	kindInsert = 0
	kindCopy   = 1
	kindBits   = 1
)

// instructionWriter encodes the instructions that build a target, from its start to its end.
type instructionWriter struct {
	target     []byte
	encoded    []byte
	builtBytes int // number of leading bytes of the target that the instructions build so far
}

// insertUpTo encodes an insertion of the target's bytes from builtBytes up to an end offset.
func (w *instructionWriter) insertUpTo(end int) {
	if end > w.builtBytes {
		w.encoded = binary.AppendUvarint(w.encoded, uint64(end-w.builtBytes)<<kindBits|kindInsert)
		w.encoded = append(w.encoded, w.target[w.builtBytes:end]...)
		w.builtBytes = end
	}
}

// copy encodes a copy of length bytes from an offset of the base to start in the target, after an insertion of
// the target's bytes before start.
func (w *instructionWriter) copy(offset, start, length int) {
	w.insertUpTo(start)
	w.encoded = binary.AppendUvarint(w.encoded, uint64(length)<<kindBits|kindCopy)
	w.encoded = binary.AppendUvarint(w.encoded, uint64(offset))
	w.builtBytes = start + length
}

// applyInstructions executes decompressed instructions. It returns the target, of at most limit bytes.
func applyInstructions(base, instructions []byte, limit int64) ([]byte, error) {
	target := []byte{}
	for len(instructions) > 0 {
		header, size := binary.Uvarint(instructions)
		if size <= 0 {
			return nil, ErrMalformed
		}
		instructions = instructions[size:]
		length := header >> kindBits
		if length > uint64(limit)-uint64(len(target)) {
			return nil, ErrTooLarge
		}
		if header&kindCopy == kindInsert {
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
