// Package quorum keeps the voters of a group of control processes (the registries are one group, the
// configuration stores another) and lets a new process replace a lost or leaving voter.
//
// A group has 2f+1 voters. Each is a numbered place, held by the disk of one process; the disk has a
// random identity, made when it was empty, and the member list says which identity holds which voter.
// Every vote, acknowledgement and grant carries the sender's signature, and counts only if it agrees with
// the receiver's member list at the moment of counting.
//
// There are two designs, each an implementation of voterSet. With staticVoters the settings name the three
// voters and each process knows its own. With discoveredVoters the settings give only their number; the
// processes form the group themselves, and a process without a voter claims one whose holder is gone or is
// leaving. docs/control-safety.md argues why either is safe.
package quorum
