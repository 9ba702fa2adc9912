package explore

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"strings"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/simulation"
	"beaconvane/internal/storage"
)

// fingerprint serializes the state of a run for hashing, including unexported fields and what pointers refer to:
// machines, disks, messages and writes in flight, lasting faults, and the outcomes that operators received. Two
// runs with the same fingerprint at the same round continue alike.
type fingerprint struct {
	text    strings.Builder
	visited map[uintptr]int // by pointer: its number, in order of first visit
}

// settingsType is skipped: settings follow from the process's index and incarnation, which are serialized.
var settingsType = reflect.TypeFor[settings.Settings]()

// add serializes any value.
func (f *fingerprint) add(value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		f.addPointer(value)
	case reflect.Struct:
		if value.Type() == settingsType {
			return
		}
		for index := range value.NumField() {
			f.add(value.Field(index))
		}
	case reflect.Map:
		f.addMap(value)
	case reflect.Slice, reflect.Array:
		if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Uint8 {
			f.addBytes(value.Bytes())
			return
		}
		fmt.Fprintf(&f.text, "%d[", value.Len())
		for index := range value.Len() {
			f.add(value.Index(index))
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		// A continuation's effect is determined by the write that it waits for, which is serialized on its own.
		fmt.Fprintf(&f.text, "%t,", value.IsNil())
	case reflect.String:
		fmt.Fprintf(&f.text, "%q,", value.String())
	default:
		fmt.Fprintf(&f.text, "%v,", value)
	}
}

// addBytes decodes body first if it is a message: maps are encoded in any order, so equal messages can differ
// in their bytes.
func (f *fingerprint) addBytes(body []byte) {
	if decoded, err := message.Decode(body); err == nil {
		f.add(reflect.ValueOf(decoded))
		return
	}
	fmt.Fprintf(&f.text, "%x,", body)
}

// addDisk serializes what a restart would read from the disk, and each file's synced and total size, which bound
// what a crash may lose.
func (f *fingerprint) addDisk(disk *simulation.Disk) {
	f.add(reflect.ValueOf(disk.Sizes()))
	_, snapshot, records, err := storage.Open(disk.Copy())
	fmt.Fprintf(&f.text, "%v %t,", err, disk.Stopped())
	f.addBytes(snapshot)
	f.add(reflect.ValueOf(records))
}

// addPointer serializes what a pointer or interface refers to, and a pointer seen before as its number.
func (f *fingerprint) addPointer(value reflect.Value) {
	if value.IsNil() {
		f.text.WriteString("nil,")
		return
	}
	if value.Kind() == reflect.Pointer {
		if number, visited := f.visited[value.Pointer()]; visited {
			fmt.Fprintf(&f.text, "#%d,", number)
			return
		}
		f.visited[value.Pointer()] = len(f.visited)
	} else {
		f.text.WriteString(value.Elem().Type().String())
	}
	f.add(value.Elem())
}

// addMap serializes a map in the order of its keys.
func (f *fingerprint) addMap(value reflect.Value) {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(one, other reflect.Value) int {
		return strings.Compare(fmt.Sprint(one), fmt.Sprint(other))
	})
	fmt.Fprintf(&f.text, "%d{", len(keys))
	for _, key := range keys {
		f.add(key)
		f.add(value.MapIndex(key))
	}
}

// fingerprint returns the hash of the world's state at the end of a round. It removes expired cuts from cutUntil.
func (w *World) fingerprint() uint64 {
	f := &fingerprint{visited: map[uintptr]int{}}
	for _, p := range w.processes {
		fmt.Fprintf(&f.text, "%d %t %t %t %t %t %d %d %d %d|", p.index, p.up, p.frozen, p.removed, p.leaving, p.hasVoter, p.incarnation,
			p.startedAt, p.wallOffset, max(p.slowUntil-w.round, 0))
		f.add(reflect.ValueOf(p.machine))
		f.add(reflect.ValueOf(p.env))
		f.addDisk(p.disk)
		f.addItems(p.inbox)
	}
	f.addItems(w.queue)
	for round := w.round; round <= w.plan.Rounds; round++ {
		f.addItems(w.delayed[round])
		fmt.Fprintf(&f.text, "%d timers,", len(w.timers[round]))
	}
	for pair, cutUntil := range w.cutUntil {
		if cutUntil <= w.round {
			delete(w.cutUntil, pair)
		}
	}
	f.add(reflect.ValueOf(w.cutUntil))
	f.add(reflect.ValueOf(w.history.committedBodies))
	f.add(reflect.ValueOf(w.history.refused))
	f.add(reflect.ValueOf(w.holders))
	hash := fnv.New64a()
	hash.Write([]byte(f.text.String()))
	return hash.Sum64()
}

// addItems serializes messages and writes in flight.
func (f *fingerprint) addItems(items []item) {
	for _, pending := range items {
		fmt.Fprintf(&f.text, "%s>%s %d %T;", pending.from, pending.to.address, pending.incarnation, pending.message)
		if pending.write == nil {
			f.add(reflect.ValueOf(pending.message))
			continue
		}
		fmt.Fprintf(&f.text, "%d;", pending.write.RequestID)
		f.addBytes(pending.write.Record)
		f.addBytes(pending.write.Snapshot)
	}
}
