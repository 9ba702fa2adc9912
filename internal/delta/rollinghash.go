package delta

// hashMultiplier is the multiplier of the polynomial rolling hash over a block.
const hashMultiplier = 0x9E3779B1

// firstByteWeight is hashMultiplier to the power of blockBytes - 1: the weight of a block's first byte in the
// block's hash.
var firstByteWeight = func() uint32 {
	weight := uint32(1)
	for range blockBytes - 1 {
		weight *= hashMultiplier
	}
	return weight
}()

// blockHash returns the hash of the block at an offset; 0 if less than a block is left there.
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

// roll returns the hash of the block at offset+1, computed from the hash of the block at offset; 0 if less than a
// block is left there.
func roll(hash uint32, document []byte, offset int) uint32 {
	if offset+blockBytes >= len(document) {
		return 0
	}
	hash -= uint32(document[offset]) * firstByteWeight
	return hash*hashMultiplier + uint32(document[offset+blockBytes])
}
