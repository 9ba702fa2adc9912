package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"

	"beaconvane/internal/errcode"
)

// A slot consists of a magic number, the format version, the generation, the length of the snapshot, a
// checksum, padding, and the snapshot.
const (
	slotMagic            = 0x4256534c
	slotFormat           = 2
	slotHeaderBytes      = 32 // size of everything before the snapshot
	slotChecksumOffset   = 24 // the checksum covers everything but itself and the padding
	slotFormatOffset     = 4
	slotGenerationOffset = 8
	slotLengthOffset     = 16
)

var (
	slotNames     = [2]string{"slot.0", "slot.1"}
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
)

// snapshotSlots manages the two files to which snapshots are written alternately, so that the newest
// snapshot stays intact while the next one is written.
type snapshotSlots struct {
	directory  Directory
	generation uint64 // of the newest snapshot; 0 if there is none
}

// openSlots returns the newest snapshot, nil if there is none. It ignores a slot that is torn or corrupt.
func openSlots(directory Directory) (slots snapshotSlots, snapshot []byte, err error) {
	slots = snapshotSlots{directory: directory}
	for _, slotName := range slotNames {
		body, err := directory.Read(slotName)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return snapshotSlots{}, nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
		}
		generation, slotSnapshot, intact := parseSlot(body)
		if intact && generation > slots.generation {
			slots.generation, snapshot = generation, slotSnapshot
		}
	}
	return slots, snapshot, nil
}

// write makes a snapshot durable in the slot that doesn't contain the newest one. If it returns without an
// error, that slot has become the newest.
func (s *snapshotSlots) write(snapshot []byte) error {
	generation := s.generation + 1
	slotName := slotNames[generation%2]
	if err := replaceDurably(s.directory, slotName, encodeSlot(generation, snapshot)); err != nil {
		return err
	}
	s.generation = generation
	return nil
}

// encodeSlot returns the content of a slot file.
func encodeSlot(generation uint64, snapshot []byte) []byte {
	body := make([]byte, slotHeaderBytes, slotHeaderBytes+len(snapshot))
	binary.BigEndian.PutUint32(body, slotMagic)
	binary.BigEndian.PutUint32(body[slotFormatOffset:], slotFormat)
	binary.BigEndian.PutUint64(body[slotGenerationOffset:], generation)
	binary.BigEndian.PutUint64(body[slotLengthOffset:], uint64(len(snapshot)))
	body = append(body, snapshot...)
	binary.BigEndian.PutUint32(body[slotChecksumOffset:], slotChecksum(body, snapshot))
	return body
}

// parseSlot returns the generation and the snapshot of a slot, and whether the slot is complete and intact.
func parseSlot(body []byte) (generation uint64, snapshot []byte, intact bool) {
	if len(body) < slotHeaderBytes || binary.BigEndian.Uint32(body) != slotMagic {
		return 0, nil, false
	}
	if binary.BigEndian.Uint32(body[slotFormatOffset:]) != slotFormat {
		return 0, nil, false
	}
	generation = binary.BigEndian.Uint64(body[slotGenerationOffset:])
	length := binary.BigEndian.Uint64(body[slotLengthOffset:])
	snapshot = body[slotHeaderBytes:]
	if uint64(len(snapshot)) != length {
		return 0, nil, false
	}
	return generation, snapshot, slotChecksum(body, snapshot) == binary.BigEndian.Uint32(body[slotChecksumOffset:])
}

// slotChecksum returns the checksum of the header, up to the checksum field, and of the snapshot.
func slotChecksum(header, snapshot []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:slotChecksumOffset], checksumTable), checksumTable, snapshot)
}
