package delta

// hashMultiplier is the multiplier of the rolling hash over a block.
const hashMultiplier = 0x9E3779B1

// firstByteWeight is rollFactor to the power of blockBytes - 1: the weight of the first byte of a block in its
// hash.
var firstByteWeight = func() uint32 {
	weight := uint32(1)
	for range blockBytes - 1 {
		weight *= hashMultiplier
	}
	return weight
}()

// blockHash returns the hash of the block that begins at a position; 0 if less than a block is left.
func blockHash(document []byte, offset int) uint32 {
	if offset+blockBytes > len(document) {
		return 0
	}
	hash := uint32(0)
	for _, value := range document[offset : offset+blockBytes] {
		hash = hash*hashMultiplier + uint32(value)
	}
	return hash
}

// roll returns the hash of the block one byte further, from that of the block at a position.
func roll(hash uint32, document []byte, offset int) uint32 {
	if offset+blockBytes >= len(document) {
		return 0
	}
	hash -= uint32(document[offset]) * firstByteWeight
	return hash*hashMultiplier + uint32(document[offset+blockBytes])
}
