package delta

import (
	"bytes"
	"math/bits"
)

// blockBytes is the size of the blocks of the base that are indexed.
const blockBytes = 32

// blockIndex finds blocks of the base by their hash. Of blocks that share a slot the first one is kept.
type blockIndex struct {
	base  []byte
	slots []int32 // one more than the block's number; 0 is empty
	shift uint
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

// slot spreads a hash over the slots by its upper bits.
func (x blockIndex) slot(hash uint32) uint32 { return hash * hashMultiplier >> x.shift }

// find returns the offset of a block in the base, if it is in the index.
func (x blockIndex) find(hash uint32, block []byte) (offset int, found bool) {
	number := x.slots[x.slot(hash)]
	if number == 0 {
		return 0, false
	}
	offset = int(number-1) * blockBytes
	return offset, bytes.Equal(x.base[offset:offset+blockBytes], block)
}
