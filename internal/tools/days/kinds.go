package main

import (
	"fmt"
	"os/exec"
	"regexp"
)

// kindSet is the set of entry kinds that a site supports.
type kindSet map[string]bool

// kindLine matches the kind at the start of a line in the bench's list of kinds.
var kindLine = regexp.MustCompile(`(?m)^([a-z_]+): `)

// siteKinds returns the entry kinds that the bench lists for a site.
func siteKinds(bench, site string) (kindSet, error) {
	output, err := exec.Command(bench, "kinds", site).Output()
	if err != nil {
		return nil, fmt.Errorf("listing the entry kinds of site %s: %w", site, err)
	}
	supported := kindSet{}
	for _, match := range kindLine.FindAllSubmatch(output, -1) {
		supported[string(match[1])] = true
	}
	if len(supported) == 0 {
		return nil, fmt.Errorf("listing the entry kinds of site %s: no kind in the output of %s", site, bench)
	}
	return supported, nil
}

// filter returns the entries of a catalogue whose kind is in the set.
func (k kindSet) filter(catalogue []entryKind) []entryKind {
	var filtered []entryKind
	for _, entry := range catalogue {
		if k[entry.kind] {
			filtered = append(filtered, entry)
		}
	}
	return filtered
}
