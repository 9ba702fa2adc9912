package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"

	"beaconvane/internal/errcode"
)

// A slot is magic, format number, generation, length of the snapshot, checksum, padding, and the snapshot.
const (
	slotMagic        = 0x4256534c
	slotFormat       = 2
	slotHeaderBytes  = 32 // before the snapshot
	slotChecksumAt   = 24 // the checksum covers all but itself and the padding behind it
	slotFormatAt     = 4
	slotGenerationAt = 8
	slotLengthAt     = 16
)

var (
	slotNames     = [2]string{"slot.0", "slot.1"}
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
)

// snapshotSlots are the two files that hold snapshots in turn. The newest snapshot stays intact while the
// next one is written, since that goes to the other slot.
type snapshotSlots struct {
	directory  Directory
	generation uint64 // of the newest snapshot; 0: there is none
}

// openSlots finds the newest snapshot, nil for none. A slot that is torn or unreadable counts as absent.
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
		generation, held, intact := parseSlot(body)
		if intact && generation > slots.generation {
			slots.generation, snapshot = generation, held
		}
	}
	return slots, snapshot, nil
}

// write makes a snapshot durable in the slot that is not the newest. Once it returns without an error
// that slot is the newest.
func (s *snapshotSlots) write(snapshot []byte) error {
	generation := s.generation + 1
	slotName := slotNames[generation%2]
	if err := replaceDurably(s.directory, slotName, encodeSlot(generation, snapshot)); err != nil {
		return err
	}
	s.generation = generation
	return nil
}

// encodeSlot returns the content of a slot.
func encodeSlot(generation uint64, snapshot []byte) []byte {
	body := make([]byte, slotHeaderBytes, slotHeaderBytes+len(snapshot))
	binary.BigEndian.PutUint32(body, slotMagic)
	binary.BigEndian.PutUint32(body[slotFormatAt:], slotFormat)
	binary.BigEndian.PutUint64(body[slotGenerationAt:], generation)
	binary.BigEndian.PutUint64(body[slotLengthAt:], uint64(len(snapshot)))
	body = append(body, snapshot...)
	binary.BigEndian.PutUint32(body[slotChecksumAt:], slotChecksum(body, snapshot))
	return body
}

// parseSlot returns the generation and the snapshot of a slot, and whether it is complete and intact.
func parseSlot(body []byte) (generation uint64, snapshot []byte, intact bool) {
	if len(body) < slotHeaderBytes || binary.BigEndian.Uint32(body) != slotMagic {
		return 0, nil, false
	}
	if binary.BigEndian.Uint32(body[slotFormatAt:]) != slotFormat {
		return 0, nil, false
	}
	generation = binary.BigEndian.Uint64(body[slotGenerationAt:])
	length := binary.BigEndian.Uint64(body[slotLengthAt:])
	snapshot = body[slotHeaderBytes:]
	if uint64(len(snapshot)) != length {
		return 0, nil, false
	}
	return generation, snapshot, slotChecksum(body, snapshot) == binary.BigEndian.Uint32(body[slotChecksumAt:])
}

// slotChecksum covers the header before the checksum, and the snapshot.
func slotChecksum(header, snapshot []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:slotChecksumAt], checksumTable), checksumTable, snapshot)
}
