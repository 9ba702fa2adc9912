package delta

import (
	"bytes"
	"math/bits"
)

// blockBytes is the size of the blocks of the base that are indexed.
const blockBytes = 32

// blockIndex is a hash table of the blocks of the base. Of blocks with the same slot it contains the first.
type blockIndex struct {
	base  []byte
	slots []int32 // the block's number plus 1; 0: empty
	shift uint    // right shift that leaves as many bits of a hash as a slot number has
}

// indexBlocks indexes all blocks of the base.
func indexBlocks(base []byte) blockIndex {
	blocks := len(base) / blockBytes
	slotBits := uint(bits.Len(uint(blocks*2 + 1)))
	index := blockIndex{base: base, slots: make([]int32, 1<<slotBits), shift: 32 - slotBits}
	for block := range blocks {
		slot := index.slot(blockHash(base, block*blockBytes))
		if index.slots[slot] == 0 {
			index.slots[slot] = int32(block + 1)
		}
	}
	return index
}

// slot returns the slot of a hash: the upper bits of its product with hashMultiplier, which are well distributed.
func (x blockIndex) slot(hash uint32) uint32 { return hash * hashMultiplier >> x.shift }

// find returns the offset of an indexed block of the base that equals the given block.
func (x blockIndex) find(hash uint32, block []byte) (offset int, found bool) {
	number := x.slots[x.slot(hash)]
	if number == 0 {
		return 0, false
	}
	offset = int(number-1) * blockBytes
	return offset, bytes.Equal(x.base[offset:offset+blockBytes], block)
}
