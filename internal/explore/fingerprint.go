// This file takes the fingerprint of a state: of all machines, disks, messages and writes
// on their way, faults that last, and what operators were told. Two runs that come to one
// fingerprint at one round go on alike.

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

// fingerprint folds values into a hash, through unexported fields and pointers as well.
type fingerprint struct {
	text strings.Builder
	met  map[uintptr]int
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
		if number, met := f.met[value.Pointer()]; met {
			fmt.Fprintf(&f.text, "#%d,", number)
			return
		}
		f.met[value.Pointer()] = len(f.met)
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

// state is the fingerprint of a world at a round's end.
func (w *World) state() uint64 {
	f := &fingerprint{met: map[uintptr]int{}}
	for _, p := range w.processes {
		fmt.Fprintf(&f.text, "%d %t %t %t %t %t %d %d %d %d|", p.index, p.up, p.frozen, p.gone, p.leaving, p.seated, p.life, p.bootAt,
			p.wall, max(p.slowTo-w.round, 0))
		f.add(reflect.ValueOf(p.machine))
		f.add(reflect.ValueOf(p.env))
		f.addDisk(p.disk)
		f.addItems(p.inbox)
	}
	f.addItems(w.queue)
	for round := w.round; round <= w.plan.Rounds; round++ {
		f.addItems(w.later[round])
		fmt.Fprintf(&f.text, "%d timers,", len(w.timers[round]))
	}
	for pair, heals := range w.cutTo {
		if heals <= w.round {
			delete(w.cutTo, pair)
		}
	}
	f.add(reflect.ValueOf(w.cutTo))
	f.add(reflect.ValueOf(w.history.contents))
	f.add(reflect.ValueOf(w.history.refused))
	f.add(reflect.ValueOf(w.holders))
	hash := fnv.New64a()
	hash.Write([]byte(f.text.String()))
	return hash.Sum64()
}

func (f *fingerprint) addItems(items []item) {
	for _, held := range items {
		fmt.Fprintf(&f.text, "%s>%s %d %T;", held.from, held.to.address, held.life, held.message)
		if held.write == nil {
			f.add(reflect.ValueOf(held.message))
			continue
		}
		fmt.Fprintf(&f.text, "%d;", held.write.RequestID)
		f.addBytes(held.write.Record)
		f.addBytes(held.write.Snapshot)
	}
}
