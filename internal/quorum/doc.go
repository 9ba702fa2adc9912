// Package quorum manages the voters of a group of control processes (the registries form one group, the
// configuration stores another) and lets a new process replace a lost or leaving voter.
//
// A group has 2f+1 voters. A voter is a named slot in the group, held by the disk of one process. The disk
// has a random identity, created while the disk was empty, and the member list maps each voter to the identity
// that holds it. Every vote, acknowledgement and grant carries the sender's signature, and counts only if it
// matches the receiver's member list at the moment of counting.
//
// voterSet has two implementations. With staticVoters the settings name the three voters and assign one to
// each process. With discoveredVoters the settings give only the number of voters: the processes form the
// group themselves, and a process without a voter claims one whose holder is dead, has left or is leaving.
// docs/control-safety.md argues why both are safe.
package quorum
