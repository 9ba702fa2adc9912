package quorum

import (
	"fmt"
	"strconv"
	"strings"

	"beaconvane/internal/statemachine"
)

// The texts that separate the parts of an identity and of a signature.
const (
	editionEnd     = "~"
	nodeStart      = "@"
	zoneStart      = "\x1e"
	signatureStart = "\x1f"
)

// randomBase is the number base in which random parts are written.
const randomBase = 36

// identity is what the text of a discovered voter's identity says. Of two identities for one voter, the one
// whose text sorts higher has replaced the other.
type identity struct {
	edition uint64 // one more than that of the holder before
	random  string
	node    string
	zone    string // "" where the settings name none
}

// parseIdentity reads the text of an identity; parts that it lacks are empty.
func parseIdentity(text string) identity {
	name, place, _ := strings.Cut(text, nodeStart)
	number, random, _ := strings.Cut(name, editionEnd)
	edition, _ := strconv.ParseUint(number, 10, 64)
	node, _, _ := strings.Cut(place, zoneStart)
	_, zone, _ := strings.Cut(text, zoneStart)
	return identity{edition: edition, random: random, node: node, zone: zone}
}

// String writes the identity. The edition has leading zeros, so that texts sort by it.
func (i identity) String() string {
	text := fmt.Sprintf("%08d", i.edition) + editionEnd + i.random + nodeStart + i.node
	if i.zone != "" {
		text += zoneStart + i.zone
	}
	return text
}

// NewIdentity writes an identity from its edition, two random numbers and its node.
func NewIdentity(edition, first, second uint64, nodeName string) string {
	return identity{edition: edition, random: formatRandom(first, second), node: nodeName}.String()
}

// randomIdentity makes the identity of a voter that the settings name.
func randomIdentity(env *statemachine.Env) string {
	first, second := env.Random.Uint64(), env.Random.Uint64()
	return formatRandom(first, second)
}

func formatRandom(first, second uint64) string {
	return strconv.FormatUint(first, randomBase) + strconv.FormatUint(second, randomBase)
}

// signature is an identity together with the digest of the member list that its bearer has synced.
type signature struct {
	identity string
	digest   string
}

func parseSignature(text string) signature {
	bearer, digest, _ := strings.Cut(text, signatureStart)
	return signature{identity: bearer, digest: digest}
}

// String writes the signature as messages carry it.
func (s signature) String() string { return s.identity + signatureStart + s.digest }

// SignatureIdentity is the identity within a signature.
func SignatureIdentity(signature string) string { return parseSignature(signature).identity }
