package delta

// rollFactor is the multiplier of the rolling hash over a block.
const rollFactor = 0x9E3779B1

// leadWeight is rollFactor to the power of blockBytes - 1: the weight of the first byte of a block in its
// hash.
var leadWeight = func() uint32 {
	weight := uint32(1)
	for range blockBytes - 1 {
		weight *= rollFactor
	}
	return weight
}()

// hashOf returns the hash of the block that begins at a position; 0 if less than a block is left.
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

// roll returns the hash of the block one byte further, from that of the block at a position.
func roll(hash uint32, document []byte, at int) uint32 {
	if at+blockBytes >= len(document) {
		return 0
	}
	hash -= uint32(document[at]) * leadWeight
	return hash*rollFactor + uint32(document[at+blockBytes])
}
