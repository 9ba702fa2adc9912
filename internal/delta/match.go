package delta

// findInstructions finds the runs of the target that stand in the base as well, greedily from the start to
// the end of the target. A run is found when it covers a block of the base, thus always from twice the
// length of a block on.
func findInstructions(base, target []byte) []byte {
	writer := instructionWriter{target: target}
	blocks := indexBlocks(base)
	position := 0
	hash := blockHash(target, position)
	for position+blockBytes <= len(target) {
		offset, found := blocks.find(hash, target[position:position+blockBytes])
		if !found {
			hash = roll(hash, target, position)
			position++
			continue
		}
		start, length := extend(base, target, offset, position, writer.builtBytes)
		writer.copy(offset-(position-start), start, length)
		position = start + length
		hash = blockHash(target, position)
	}
	writer.insertUpTo(len(target))
	return writer.encoded
}

// extend grows a match of one block in both directions. It starts no earlier than floor in the target. It
// returns where the match starts there, and its length.
func extend(base, target []byte, offset, position, minStart int) (start, length int) {
	begin, end := 0, blockBytes
	for position+begin > minStart && offset+begin > 0 && base[offset+begin-1] == target[position+begin-1] {
		begin--
	}
	for position+end < len(target) && offset+end < len(base) && base[offset+end] == target[position+end] {
		end++
	}
	return position + begin, end - begin
}
