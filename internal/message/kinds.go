package message

import (
	"fmt"
	"reflect"

	"github.com/hamba/avro/v2"
)

// kindEntry is one registered message type.
type kindEntry struct {
	kind   byte
	schema avro.Schema
	goType reflect.Type
}

var (
	byKind = map[byte]kindEntry{}
	byType = map[reflect.Type]kindEntry{}
)

// The order gives the kind bytes: new types go to the end.
func init() {
	for index, sample := range []any{
		Ping{}, Ack{}, IndirectPing{}, JoinRequest{}, JoinResponse{},
		VoterStatus{}, VoterClaim{}, VoterGrant{},
		LeaseRequest{}, LeaseVote{}, LeaseYield{},
		HeartbeatBatch{}, HeartbeatResponse{}, RosterChange{}, RosterCheck{}, RosterDigest{}, RosterPull{}, RosterSnapshot{}, ProbeRequest{},
		UsageRead{}, UsageReadResponse{}, UsageSeal{}, UsageSealResponse{},
		WriteRequest{}, ReadRequest{}, StoreResponse{}, ConfigurationCommitted{}, LogPositionRequest{}, LogPositionResponse{}, LogSnapshotRequest{}, LogSnapshot{}, LogRecommit{}, LogAppend{}, LogAppended{},
		UpdatesRequest{}, UpdatesResponse{},
		Forward{}, Outcome{}, OutcomeRequest{}, Cancel{}, Hello{}, RosterSlice{}, Registration{},
		VoterState{}, Vote{}, RegistryState{}, ConfigStoreState{}, UsageUpdate{}, UnreportedUsage{}, KnownAddresses{}, UsageSealed{}, UsageReported{}, LogAppendDelta{},
	} {
		register(byte(index+1), sample)
	}
}

// register adds a message type under its kind byte; a kind that is taken is a programming error.
func register(kind byte, sample any) {
	goType := reflect.TypeOf(sample)
	entry := kindEntry{kind, SchemaOf(sample), goType}
	if _, taken := byKind[kind]; taken {
		panic(fmt.Sprintf("message: kind %d twice", kind))
	}
	byKind[kind] = entry
	byType[goType] = entry
}

// KindName returns the type name of the message with a frame's kind byte, or "" for an unknown
// kind.
func KindName(kind byte) string {
	if entry, found := byKind[kind]; found {
		return entry.goType.Name()
	}
	return ""
}
