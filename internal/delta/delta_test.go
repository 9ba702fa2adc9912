package delta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

const testLimit = 8 << 20

// configuration returns a document like an operator's configuration, with random names.
func configuration(random *rand.Rand, routes int) []byte {
	var document bytes.Buffer
	document.WriteString(`{"version":7,"routes":[`)
	for number := range routes {
		if number > 0 {
			document.WriteByte(',')
		}
		fmt.Fprintf(&document, `{"name":"r-%x","host":"%x.example","prefix":"/%x/%x/","kind":"repeatable","timeout_ms":%d,`+
			`"aim_ms":800,"priority":2,"service":"s%x","attempts":2,"open":false}`,
			random.Uint32(), random.Uint32(), random.Uint32(), random.Uint32(), 500+random.IntN(4)*500, random.IntN(3))
	}
	document.WriteString(`],"services":["s0","s1","s2"]}`)
	return document.Bytes()
}

// roundTrip checks that the target is rebuilt from its difference, and returns the size of the difference.
func roundTrip(t *testing.T, base, target []byte) int {
	t.Helper()
	difference := Encode(base, target)
	rebuilt, err := Apply(base, difference, testLimit)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	if !bytes.Equal(rebuilt, target) {
		t.Fatalf("rebuilt %d bytes that differ from the %d of the target", len(rebuilt), len(target))
	}
	return len(difference)
}

// The difference for a change of one route among many is at most a thousandth of the document's size.
func TestSmallChangeHasSmallDifference(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	base := configuration(random, 1700)
	target := bytes.Replace(base, []byte(`"timeout_ms":500`), []byte(`"timeout_ms":1750`), 1)
	target = bytes.Replace(target, []byte(`"version":7`), []byte(`"version":31`), 1)
	if size := roundTrip(t, base, target); size > len(target)/1000 {
		t.Fatalf("difference of %d bytes for a document of %d", size, len(target))
	}
}

// Without a base the difference is the whole document, compressed to at most a third of its size.
func TestWholeDocumentIsCompressed(t *testing.T) {
	document := configuration(rand.New(rand.NewPCG(3, 4)), 1700)
	if size := roundTrip(t, nil, document); size > len(document)/3 {
		t.Fatalf("%d bytes for a document of %d", size, len(document))
	}
}

func TestEdgeCasesRoundTrip(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 40)
	for _, pair := range [][2][]byte{
		{nil, nil}, {long, nil}, {nil, []byte("x")}, {[]byte("x"), []byte("x")}, {long, long},
		{long[:blockBytes], long[:blockBytes]}, {long[:blockBytes+1], long[1 : blockBytes+1]}, {long, long[7:]}, {long[7:], long},
	} {
		roundTrip(t, pair[0], pair[1])
	}
}

func TestRandomEditsRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		base := configuration(random, random.IntN(30))
		target := bytes.Clone(base)
		for range random.IntN(6) {
			from := random.IntN(len(target) + 1)
			to := from + random.IntN(len(target)-from+1)
			inserted := configuration(random, random.IntN(2))
			target = append(append(bytes.Clone(target[:from]), inserted...), target[to:]...)
		}
		roundTrip(t, base, target)
	}
}

func TestCorruptDifferencesAreRefused(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	base := configuration(random, 5)
	difference := Encode(base, configuration(random, 6))
	for range 2000 {
		corrupt := bytes.Clone(difference)
		corrupt[random.IntN(len(corrupt))] ^= byte(1 + random.IntN(255))
		// Apply must not panic or exceed the limit, whatever it returns.
		if rebuilt, err := Apply(base, corrupt, 4096); err == nil && len(rebuilt) > 4096 {
			t.Fatalf("rebuilt %d bytes, the limit is 4096", len(rebuilt))
		}
	}
	if _, err := Apply(base, difference, 100); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("want ErrTooLarge, have %v", err)
	}
	if _, err := Apply(nil, Encode(base, base), testLimit); !errors.Is(err, ErrMalformed) {
		t.Fatalf("a copy from an empty base: want ErrMalformed, have %v", err)
	}
}

func BenchmarkEncodeSmallChange(b *testing.B) {
	base := configuration(rand.New(rand.NewPCG(1, 2)), 1700)
	target := bytes.Replace(base, []byte(`"timeout_ms":500`), []byte(`"timeout_ms":1750`), 1)
	b.SetBytes(int64(len(target)))
	for b.Loop() {
		Encode(base, target)
	}
}

func BenchmarkEncodeWhole(b *testing.B) {
	document := configuration(rand.New(rand.NewPCG(1, 2)), 1700)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		Encode(nil, document)
	}
}

func BenchmarkApplyWhole(b *testing.B) {
	document := configuration(rand.New(rand.NewPCG(1, 2)), 1700)
	difference := Encode(nil, document)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		if _, err := Apply(nil, difference, testLimit); err != nil {
			b.Fatal(err)
		}
	}
}
