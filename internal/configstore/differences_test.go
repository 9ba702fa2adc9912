package configstore

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// randomVersions returns a log of two configurations, with versions that differ in one line each, and its
// digests.
func randomVersions(random *rand.Rand, count, routes int) ([]message.StoredConfiguration, []message.VersionDigest) {
	list, digests := []message.StoredConfiguration{}, []message.VersionDigest{}
	for _, configName := range []string{"main", "other"} {
		lines := make([]string, routes)
		for index := range lines {
			lines[index] = fmt.Sprintf("route %d of %s goes to %d", index, configName, random.IntN(1000))
		}
		for version := range count {
			lines[random.IntN(routes)] = fmt.Sprintf("changed %d", random.IntN(1000))
			body := []byte(strings.Join(lines, "\n"))
			number := int64(version + 1)
			entry := message.StoredConfiguration{ConfigName: configName, Version: number, Epoch: 1, Seq: int64(version), Body: body}
			list = append(list, entry)
			digests = append(digests, message.VersionDigest{ConfigName: configName, Version: number, Digest: contentDigest(body)})
		}
	}
	return list, digests
}

func totalBodyBytes(list []message.StoredConfiguration) int {
	total := 0
	for _, configuration := range list {
		total += len(configuration.Body)
	}
	return total
}

// Decoding an encoded log yields the original log. The encoded log is small: 32 versions take less than a
// sixteenth of their size.
func TestEncodedLogDecodesToTheSameLog(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 24
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		list, digests := randomVersions(random, 16, 400)
		encoder := differenceEncoder{}
		encoded := encoder.encode(list)
		c.Assert(totalBodyBytes(encoded) < totalBodyBytes(list)/16, qt.IsTrue,
			qt.Commentf("%d of %d bytes", totalBodyBytes(encoded), totalBodyBytes(list)))
		decoded, err := decodeDifferences(encoded, digests, limit)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(decoded, list), qt.IsTrue)

		// After the oldest versions were dropped, the cached differences of all but the first remaining
		// version are used again.
		shorter := append(append([]message.StoredConfiguration{}, list[3:16]...), list[20:]...)
		decoded, err = decodeDifferences(encoder.encode(shorter), digests, limit)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(decoded, shorter), qt.IsTrue)

		// Earlier builds send bodies unencoded.
		decoded, err = decodeDifferences(list, digests, limit)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(decoded, list), qt.IsTrue)
	}
}

// A log with a missing, oversized or invalid difference is refused.
func TestCorruptDifferencesAreRefused(t *testing.T) {
	c := qt.New(t)
	list, digests := randomVersions(rand.New(rand.NewPCG(1, 7)), 4, 50)
	encoded := (&differenceEncoder{}).encode(list)
	missing := append(append([]message.StoredConfiguration{}, encoded[:1]...), encoded[2:]...)
	_, err := decodeDifferences(missing, digests, 1<<20)
	c.Assert(err, qt.IsNotNil)
	_, err = decodeDifferences(encoded, digests, 100)
	c.Assert(err, qt.IsNotNil)
	encoded[2].Body = []byte("no difference")
	_, err = decodeDifferences(encoded, digests, 1<<20)
	c.Assert(err, qt.IsNotNil)
}

// The cache must not return the difference of a write that was encoded but never committed, if its version
// number is committed later with different content.
func TestDifferencesAreCachedByContent(t *testing.T) {
	c := qt.New(t)
	base := message.StoredConfiguration{ConfigName: "main", Version: 4, Body: []byte(strings.Repeat("base ", 300))}
	uncommitted, committed := base, base
	uncommitted.Version, uncommitted.Body = 5, append([]byte("uncommitted "), base.Body...)
	committed.Version, committed.Body = 5, append([]byte("committed "), base.Body...)
	encoder := differenceEncoder{}
	encoder.encode([]message.StoredConfiguration{base, uncommitted})
	encoder.compress(uncommitted.Body)
	list := []message.StoredConfiguration{base, committed}
	digests := []message.VersionDigest{
		{ConfigName: "main", Version: 4, Digest: contentDigest(base.Body)},
		{ConfigName: "main", Version: 5, Digest: contentDigest(committed.Body)},
	}
	decoded, err := decodeDifferences(encoder.encode(list), digests, 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(reflect.DeepEqual(decoded, list), qt.IsTrue)
	body, err := delta.Apply(nil, encoder.compress(committed.Body), 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, string(committed.Body))
}
