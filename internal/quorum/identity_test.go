package quorum

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The texts of identities are on disks and in messages of other versions.
func TestIdentityTexts(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		text   string
		parsed identity
	}{
		{"00000007~12@n1", identity{edition: 7, random: "12", node: "n1"}},
		{"00000007~12@n1\x1eeast", identity{edition: 7, random: "12", node: "n1", zone: "east"}},
		{"123456789~zz@n2", identity{edition: 123456789, random: "zz", node: "n2"}},
	} {
		c.Check(parseIdentity(tried.text), qt.Equals, tried.parsed)
		c.Check(tried.parsed.String(), qt.Equals, tried.text)
	}
	c.Check(NewIdentity(7, 1, 38, "n1"), qt.Equals, "00000007~112@n1")
}

// The identity of a voter that the settings name has no parts.
func TestIdentityWithoutParts(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "3w5e11264sgsf1c9y2ndrsc0b"} {
		parsed := parseIdentity(text)
		c.Check(parsed.edition, qt.Equals, uint64(0))
		c.Check(parsed.node, qt.Equals, "")
		c.Check(parsed.zone, qt.Equals, "")
	}
}

func TestSignatureTexts(t *testing.T) {
	c := qt.New(t)
	signed := signature{identity: "00000000~12@n1\x1eeast", digest: "abc"}
	c.Check(signed.String(), qt.Equals, "00000000~12@n1\x1eeast\x1fabc")
	c.Check(parseSignature(signed.String()), qt.Equals, signed)
	c.Check(SignatureIdentity(signed.String()), qt.Equals, signed.identity)
	c.Check(SignatureIdentity(signed.identity), qt.Equals, signed.identity)
}

func TestMemberListsJoin(t *testing.T) {
	c := qt.New(t)
	list := memberList{"1": "00000000~a@n1", "2": "00000001~b@n2"}
	c.Check(list.digest(), qt.Equals, "b7sy1b6p6wpf")

	joined, grown := list.join(memberList{"1": "00000001~c@n3", "2": "00000000~b@n2"})
	c.Check(grown, qt.IsTrue)
	c.Check(joined, qt.DeepEquals, memberList{"1": "00000001~c@n3", "2": "00000001~b@n2"})
	c.Check(joined.digest(), qt.Not(qt.Equals), list.digest())

	same, grown := joined.join(list)
	c.Check(grown, qt.IsFalse)
	c.Check(same, qt.DeepEquals, joined)
}
