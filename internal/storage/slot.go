package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A slot is magic, format number, generation, length of the snapshot, checksum, and the snapshot.
const (
	formatNumber = 2
	slotMagic    = 0x4256534c
	slotHead     = 32 // bytes before the snapshot
	slotSumAt    = 24 // offset of the checksum, which covers all but itself and the padding
)

var sumTable = crc32.MakeTable(crc32.Castagnoli)

// slotOf returns the file of a snapshot.
func slotOf(generation uint64, snapshot []byte) []byte {
	body := make([]byte, slotHead, slotHead+len(snapshot))
	binary.BigEndian.PutUint32(body[0:], slotMagic)
	binary.BigEndian.PutUint32(body[4:], formatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint64(body[16:], uint64(len(snapshot)))
	body = append(body, snapshot...)
	sum := crc32.Update(crc32.Checksum(body[:slotSumAt], sumTable), sumTable, snapshot)
	binary.BigEndian.PutUint32(body[slotSumAt:], sum)
	return body
}

// parseSlot returns the generation and the snapshot of a slot, and whether it is complete and intact.
func parseSlot(body []byte) (uint64, []byte, bool) {
	if len(body) < slotHead || binary.BigEndian.Uint32(body) != slotMagic || binary.BigEndian.Uint32(body[4:]) != formatNumber {
		return 0, nil, false
	}
	generation, size := binary.BigEndian.Uint64(body[8:]), binary.BigEndian.Uint64(body[16:])
	snapshot := body[slotHead:]
	if uint64(len(snapshot)) != size {
		return 0, nil, false
	}
	sum := crc32.Update(crc32.Checksum(body[:slotSumAt], sumTable), sumTable, snapshot)
	return generation, snapshot, sum == binary.BigEndian.Uint32(body[slotSumAt:])
}
