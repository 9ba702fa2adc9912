package delta

// findInstructions finds the runs of the target that stand in the base as well, greedily from the start to
// the end of the target. A run is found when it covers a block of the base, thus always from twice the
// length of a block on.
func findInstructions(base, target []byte) []byte {
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
		start, length := extend(base, target, offset, at, out.covered)
		out.copy(offset-(at-start), start, length)
		at = start + length
		hash = hashOf(target, at)
	}
	out.insertUpTo(len(target))
	return out.encoded
}

// extend grows a match of one block in both directions. It starts no earlier than floor in the target. It
// returns where the match starts there, and its length.
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
