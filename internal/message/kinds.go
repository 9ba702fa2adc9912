package message

import (
	"fmt"
	"reflect"

	"github.com/hamba/avro/v2"
)

// registeredTypes lists a sample of each type that has a frame. The place in the list gives the kind
// byte, counted from firstKind: the order never changes, and new types go to the end.
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
}

// firstKind is the kind byte of the first registered type.
const firstKind = 1

// kindEntry is one registered message type.
type kindEntry struct {
	kind   byte
	schema avro.Schema
	goType reflect.Type
}

var (
	byKind = indexByKind(registeredTypes)
	byType = indexByType(byKind)
)

// indexByKind derives the schema of each type and gives it its kind byte.
func indexByKind(samples []any) map[byte]kindEntry {
	index := make(map[byte]kindEntry, len(samples))
	for place, sample := range samples {
		kind := byte(firstKind + place)
		index[kind] = kindEntry{kind: kind, schema: schemaOf(sample), goType: reflect.TypeOf(sample)}
	}
	return index
}

// indexByType is the inverse of indexByKind. A type that is registered twice is a programming error.
func indexByType(entries map[byte]kindEntry) map[reflect.Type]kindEntry {
	index := make(map[reflect.Type]kindEntry, len(entries))
	for _, entry := range entries {
		if _, taken := index[entry.goType]; taken {
			panic(fmt.Sprintf("message: %s is registered twice", entry.goType))
		}
		index[entry.goType] = entry
	}
	return index
}

// KindName returns the type name of the message with a frame's kind byte, or "" for an unknown kind.
func KindName(kind byte) string {
	if entry, found := byKind[kind]; found {
		return entry.goType.Name()
	}
	return ""
}
