package delta

import "encoding/binary"

// Kinds of an instruction, in the lowest bit of its first varint.
const (
	kindInsert = 0
	kindCopy   = 1
	kindBits   = 1
)

// instructionWriter encodes the instructions for a target, from its start to its end.
type instructionWriter struct {
	target     []byte
	encoded    []byte
	builtBytes int // bytes of the target that the instructions build so far
}

// insertUpTo inserts the part of the target between what is covered and an end.
func (w *instructionWriter) insertUpTo(end int) {
	if end > w.builtBytes {
		w.encoded = binary.AppendUvarint(w.encoded, uint64(end-w.builtBytes)<<kindBits|kindInsert)
		w.encoded = append(w.encoded, w.target[w.builtBytes:end]...)
		w.builtBytes = end
	}
}

// copy copies from an offset of the base what begins at start in the target, and inserts what lies before.
func (w *instructionWriter) copy(offset, start, length int) {
	w.insertUpTo(start)
	w.encoded = binary.AppendUvarint(w.encoded, uint64(length)<<kindBits|kindCopy)
	w.encoded = binary.AppendUvarint(w.encoded, uint64(offset))
	w.builtBytes = start + length
}

// applyInstructions runs decompressed instructions against the base.
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
