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

// fingerprint folds the state of a run into a hash, through unexported fields and pointers as well:
// machines, disks, messages and writes in flight, lasting faults, and what operators were told. Two
// runs with one fingerprint at one round go on alike.
type fingerprint struct {
	text    strings.Builder
	visited map[uintptr]int
}

var settingsType = reflect.TypeFor[settings.Settings]()

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
		// What a continuation will do follows from the write that it waits for.
		fmt.Fprintf(&f.text, "%t,", value.IsNil())
	case reflect.String:
		fmt.Fprintf(&f.text, "%q,", value.String())
	default:
		fmt.Fprintf(&f.text, "%v,", value)
	}
}

// addBytes reads a message, if it is one: the same message has many forms, since its maps
// are written in any order.
func (f *fingerprint) addBytes(body []byte) {
	if decoded, err := message.Decode(body); err == nil {
		f.add(reflect.ValueOf(decoded))
		return
	}
	fmt.Fprintf(&f.text, "%x,", body)
}

// addDisk takes what a start from the disk would find, and what a crash might lose.
func (f *fingerprint) addDisk(disk *simulation.Disk) {
	f.add(reflect.ValueOf(disk.Sizes()))
	_, snapshot, records, err := storage.Open(disk.Copy())
	fmt.Fprintf(&f.text, "%v %t,", err, disk.Stopped())
	f.addBytes(snapshot)
	f.add(reflect.ValueOf(records))
}

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

// fingerprint is the fingerprint of a world at a round's end.
func (w *World) fingerprint() uint64 {
	f := &fingerprint{visited: map[uintptr]int{}}
	for _, p := range w.processes {
		fmt.Fprintf(&f.text, "%d %t %t %t %t %t %d %d %d %d|", p.index, p.up, p.frozen, p.removed, p.leaving, p.hasVoter, p.incarnation,
			p.startedAt,
			p.wallOffset, max(p.slowUntil-w.round, 0))
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
