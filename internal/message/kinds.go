package message

import (
	"fmt"
	"reflect"

	"github.com/hamba/avro/v2"
)

// registeredTypes lists a zero value of each type that can be sent as a frame. The index in the list plus
// firstKind is the kind byte, so the order must not change, and new types are appended.
var registeredTypes = []any{
	Ping{},
	Ack{},
	IndirectPing{},
	JoinRequest{},
	JoinResponse{},
	VoterStatus{},
	VoterClaim{},
	VoterGrant{},
	LeaseRequest{},
	LeaseVote{},
	LeaseYield{},
	HeartbeatBatch{},
	HeartbeatResponse{},
	RosterChange{},
	RosterCheck{},
	RosterDigest{},
	RosterPull{},
	RosterSnapshot{},
	ProbeRequest{},
	UsageRead{},
	UsageReadResponse{},
	UsageSeal{},
	UsageSealResponse{},
	WriteRequest{},
	ReadRequest{},
	StoreResponse{},
	ConfigurationCommitted{},
	LogPositionRequest{},
	LogPositionResponse{},
	LogSnapshotRequest{},
	LogSnapshot{},
	LogRecommit{},
	LogAppend{},
	LogAppended{},
	UpdatesRequest{},
	UpdatesResponse{},
	Forward{},
	Outcome{},
	OutcomeRequest{},
	Cancel{},
	Hello{},
	RosterSlice{},
	Registration{},
	VoterState{},
	Vote{},
	RegistryState{},
	ConfigStoreState{},
	UsageUpdate{},
	UnreportedUsage{},
	KnownAddresses{},
	UsageSealed{},
	UsageReported{},
	LogAppendDelta{},
	Deregistration{},
	DeregistrationsStored{},
}

// firstKind is the kind byte of the first registered type.
const firstKind = 1

// kindEntry is a registered message type with its kind byte and its schema.
type kindEntry struct {
	kind   byte
	schema avro.Schema
	goType reflect.Type
}

var (
	byKind = indexByKind(registeredTypes)
	byType = indexByType(byKind)
)

// indexByKind derives the schema and the kind byte of each type.
func indexByKind(samples []any) map[byte]kindEntry {
	index := make(map[byte]kindEntry, len(samples))
	for position, sample := range samples {
		kind := byte(firstKind + position)
		index[kind] = kindEntry{kind: kind, schema: schemaOf(sample), goType: reflect.TypeOf(sample)}
	}
	return index
}

// indexByType indexes the entries by type. It panics on a type that is registered twice, which is a
// programming error.
func indexByType(entries map[byte]kindEntry) map[reflect.Type]kindEntry {
	index := make(map[reflect.Type]kindEntry, len(entries))
	for _, entry := range entries {
		if _, duplicate := index[entry.goType]; duplicate {
			panic(fmt.Sprintf("message: %s is registered twice", entry.goType))
		}
		index[entry.goType] = entry
	}
	return index
}

// KindName returns the name of the message type for a kind byte, or "" for an unknown kind. Counters of
// frames show this name.
func KindName(kind byte) string {
	if entry, found := byKind[kind]; found {
		return entry.goType.Name()
	}
	return ""
}
