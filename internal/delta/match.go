package delta

// findInstructions returns the encoded instructions that build the target. It searches the target greedily,
// from start to end, for byte runs that also occur in the base. A run is found if it covers a complete indexed
// block of the base, as a run of at least two block lengths does.
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

// extend extends a match of one block, between offset in the base and position in the target, in both
// directions. It returns the start of the match in the target, which is not below minStart, and its length.
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
