package quorum

import (
	"fmt"
	"strconv"
	"strings"

	"beaconvane/internal/statemachine"
)

// Separators in the texts of identities and signatures, which are stored on disk and sent in messages. An identity is
// edition~random@node, followed by zoneSeparator and the zone if there is one. A signature is an identity followed by
// digestSeparator and a digest.
const (
	editionSeparator = "~"
	nodeSeparator    = "@"
	zoneSeparator    = "\x1e"
	digestSeparator  = "\x1f"
)

// randomBase is the number base in which random numbers and digests are written.
const randomBase = 36

// identity is the parsed form of a discovered voter's identity. Of two identities that held the same voter, the one
// whose text sorts higher has replaced the other.
type identity struct {
	edition uint64 // one more than that of the previous holder
	random  string
	node    string
	zone    string // "" if the settings do not name a zone
}

// parseIdentity parses the text of an identity. Fields that are missing or malformed keep their zero values.
func parseIdentity(text string) identity {
	editionAndRandom, nodeAndZone, _ := strings.Cut(text, nodeSeparator)
	editionText, random, _ := strings.Cut(editionAndRandom, editionSeparator)
	edition, _ := strconv.ParseUint(editionText, 10, 64)
	node, _, _ := strings.Cut(nodeAndZone, zoneSeparator)
	_, zone, _ := strings.Cut(text, zoneSeparator)
	return identity{edition: edition, random: random, node: node, zone: zone}
}

// String returns the text of the identity. The edition has leading zeros, so that the texts sort by edition.
func (i identity) String() string {
	text := fmt.Sprintf("%08d", i.edition) + editionSeparator + i.random + nodeSeparator + i.node
	if i.zone != "" {
		text += zoneSeparator + i.zone
	}
	return text
}

// NewIdentity returns the text of an identity with an edition, two random numbers, a node and no zone.
func NewIdentity(edition, first, second uint64, nodeName string) string {
	return identity{edition: edition, random: formatRandom(first, second), node: nodeName}.String()
}

// randomIdentity returns a new identity for a static voter, which has neither edition nor node.
func randomIdentity(env *statemachine.Env) string {
	first, second := env.Random.Uint64(), env.Random.Uint64()
	return formatRandom(first, second)
}

// formatRandom concatenates two random numbers in base randomBase.
func formatRandom(first, second uint64) string {
	return strconv.FormatUint(first, randomBase) + strconv.FormatUint(second, randomBase)
}

// signature is a discovered voter's identity together with the digest of the member list that its disk has synced.
type signature struct {
	identity string
	digest   string
}

// parseSignature splits the text of a signature. A signature of a static voter is its identity and has no digest.
func parseSignature(text string) signature {
	identityText, digest, _ := strings.Cut(text, digestSeparator)
	return signature{identity: identityText, digest: digest}
}

// String returns the text of the signature that messages carry.
func (s signature) String() string { return s.identity + digestSeparator + s.digest }

// SignatureIdentity returns the identity within the text of a signature.
func SignatureIdentity(signature string) string { return parseSignature(signature).identity }
