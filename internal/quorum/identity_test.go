package quorum

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The text format of identities is fixed, because it is stored on disks and exchanged with other versions.
func TestIdentityTexts(t *testing.T) {
	c := qt.New(t)
	for _, testCase := range []struct {
		text   string
		parsed identity
	}{
		{"00000007~12@n1", identity{edition: 7, random: "12", node: "n1"}},
		{"00000007~12@n1\x1eeast", identity{edition: 7, random: "12", node: "n1", zone: "east"}},
		{"123456789~zz@n2", identity{edition: 123456789, random: "zz", node: "n2"}},
	} {
		c.Check(parseIdentity(testCase.text), qt.Equals, testCase.parsed)
		c.Check(testCase.parsed.String(), qt.Equals, testCase.text)
	}
	c.Check(NewIdentity(7, 1, 38, "n1"), qt.Equals, "00000007~112@n1")
}

// The identity of a static voter is a random text without edition, node and zone.
func TestStaticIdentityHasNoFields(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "3w5e11264sgsf1c9y2ndrsc0b"} {
		parsed := parseIdentity(text)
		c.Check(parsed.edition, qt.Equals, uint64(0))
		c.Check(parsed.node, qt.Equals, "")
		c.Check(parsed.zone, qt.Equals, "")
	}
}

// The text format of signatures is fixed for the same reason as that of identities.
func TestSignatureTexts(t *testing.T) {
	c := qt.New(t)
	signed := signature{identity: "00000000~12@n1\x1eeast", digest: "abc"}
	c.Check(signed.String(), qt.Equals, "00000000~12@n1\x1eeast\x1fabc")
	c.Check(parseSignature(signed.String()), qt.Equals, signed)
	c.Check(SignatureIdentity(signed.String()), qt.Equals, signed.identity)
	c.Check(SignatureIdentity(signed.identity), qt.Equals, signed.identity)
}

// Merging keeps the later holder of each voter, and the digest of a given list never changes, because it is part of
// signatures that other versions compare.
func TestMemberListMerge(t *testing.T) {
	c := qt.New(t)
	list := memberList{"1": "00000000~a@n1", "2": "00000001~b@n2"}
	c.Check(list.digest(), qt.Equals, "b7sy1b6p6wpf")

	merged, changed := list.merge(memberList{"1": "00000001~c@n3", "2": "00000000~b@n2"})
	c.Check(changed, qt.IsTrue)
	c.Check(merged, qt.DeepEquals, memberList{"1": "00000001~c@n3", "2": "00000001~b@n2"})
	c.Check(merged.digest(), qt.Not(qt.Equals), list.digest())

	same, changed := merged.merge(list)
	c.Check(changed, qt.IsFalse)
	c.Check(same, qt.DeepEquals, merged)
}
