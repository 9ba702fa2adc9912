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

// versionsOf makes a log of versions that differ a little, of two configurations.
func versionsOf(dice *rand.Rand, count, routes int) ([]message.StoredConfiguration, []message.VersionDigest) {
	list, digests := []message.StoredConfiguration{}, []message.VersionDigest{}
	for _, configName := range []string{"main", "other"} {
		lines := make([]string, routes)
		for index := range lines {
			lines[index] = fmt.Sprintf("route %d of %s goes to %d", index, configName, dice.IntN(1000))
		}
		for version := range count {
			lines[dice.IntN(routes)] = fmt.Sprintf("changed %d", dice.IntN(1000))
			body := []byte(strings.Join(lines, "\n"))
			number := int64(version + 1)
			entry := message.StoredConfiguration{ConfigName: configName, Version: number, Epoch: 1, Seq: int64(version), Body: body}
			list = append(list, entry)
			digests = append(digests, message.VersionDigest{ConfigName: configName, Version: number, Digest: contentDigest(body)})
		}
	}
	return list, digests
}

func bytesOf(list []message.StoredConfiguration) int {
	total := 0
	for _, configuration := range list {
		total += len(configuration.Body)
	}
	return total
}

// A log that is decoded is the log that was encoded, which is hardly longer than one version of it.
func TestPackedLogIsTheLog(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 24
	for seed := range uint64(20) {
		dice := rand.New(rand.NewPCG(seed, 7))
		list, digests := versionsOf(dice, 16, 400)
		encoder := differenceEncoder{}
		encoded := encoder.encode(list)
		c.Assert(bytesOf(encoded) < bytesOf(list)/16, qt.IsTrue, qt.Commentf("%d of %d bytes", bytesOf(encoded), bytesOf(list)))
		decoded, err := decodeDifferences(encoded, digests, limit)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(decoded, list), qt.IsTrue)

		// The oldest versions go; what was made of the others stays, but for the first.
		shorter := append(append([]message.StoredConfiguration{}, list[3:16]...), list[20:]...)
		decoded, err = decodeDifferences(encoder.encode(shorter), digests, limit)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(decoded, shorter), qt.IsTrue)

		// An earlier build sends bodies as they are.
		decoded, err = decodeDifferences(list, digests, limit)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(decoded, list), qt.IsTrue)
	}
}

// Differences that don't give what the digests say are refused as a whole.
func TestCorruptDifferencesAreRefused(t *testing.T) {
	c := qt.New(t)
	list, digests := versionsOf(rand.New(rand.NewPCG(1, 7)), 4, 50)
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

// A version that was in flight and lost may be committed with another content later, at a
// store that encoded the first: what it packs then is what it holds.
func TestDifferencesAreCachedByContent(t *testing.T) {
	c := qt.New(t)
	base := message.StoredConfiguration{ConfigName: "main", Version: 4, Body: []byte(strings.Repeat("base ", 300))}
	lost, taken := base, base
	lost.Version, lost.Body = 5, append([]byte("lost "), base.Body...)
	taken.Version, taken.Body = 5, append([]byte("taken "), base.Body...)
	encoder := differenceEncoder{}
	encoder.encode([]message.StoredConfiguration{base, lost})
	encoder.compress(lost.Body)
	list := []message.StoredConfiguration{base, taken}
	digests := []message.VersionDigest{
		{ConfigName: "main", Version: 4, Digest: contentDigest(base.Body)},
		{ConfigName: "main", Version: 5, Digest: contentDigest(taken.Body)},
	}
	decoded, err := decodeDifferences(encoder.encode(list), digests, 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(reflect.DeepEqual(decoded, list), qt.IsTrue)
	body, err := delta.Apply(nil, encoder.compress(taken.Body), 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, string(taken.Body))
}
