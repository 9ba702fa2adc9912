package main

import (
	"fmt"
	"os/exec"
	"regexp"
)

// kinds are the names of the entries that a site knows.
type kinds map[string]bool

// kindLine is a line of the bench's list: a kind and what it means.
var kindLine = regexp.MustCompile(`(?m)^([a-z_]+): `)

// kindsOf asks the bench which entries a site knows.
func kindsOf(bench, site string) (kinds, error) {
	listed, err := exec.Command(bench, "kinds", site).Output()
	if err != nil {
		return nil, fmt.Errorf("kinds of %s: %w", site, err)
	}
	known := kinds{}
	for _, match := range kindLine.FindAllSubmatch(listed, -1) {
		known[string(match[1])] = true
	}
	if len(known) == 0 {
		return nil, fmt.Errorf("kinds of %s: none listed", site)
	}
	return known, nil
}

// among returns the entries of a catalogue that are known.
func (k kinds) among(catalogue []entryKind) []entryKind {
	var kept []entryKind
	for _, entry := range catalogue {
		if k[entry.kind] {
			kept = append(kept, entry)
		}
	}
	return kept
}
