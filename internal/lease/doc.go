// Package lease elects the active voter of a group for each tag. The voters elect it among themselves,
// and at most one voter holds the lease of a tag at a time.
//
// Each voter has three roles for a tag, and each role has its own state type.
//
//   - The acceptor (acceptorState) grants votes. It writes the epoch and the candidate to disk and syncs
//     them before it grants, and promises to grant no other candidate for the duration of a lease. The
//     time of the promise isn't stored, so a restarted voter waits a full lease before it grants. Only
//     the candidate recorded on its own disk is granted immediately, since the promise was made to it.
//   - The candidate (candidateState) requests votes from all voters for an epoch higher than any that it
//     has seen. It starts with a pre-vote, which asks whether a vote would be granted and changes no
//     vote. A voter that has only missed some renewals thus learns that the other voters are still
//     bound to the holder, and doesn't disrupt the holder.
//   - The holder (holderState) renews its lease. It measures the lease from the time of its request, and
//     stops acting a safety margin before the voters' promises end. If a voter has voted for another
//     candidate or for a higher epoch, the holder campaigns for a higher epoch itself, so that all voters
//     vote for it again.
//
// Safety depends on epochs, not on clocks: each epoch has one holder, every action of a holder carries
// its epoch, and receivers reject lower epochs. The clocks only make it rare that a holder acts after
// its lease has expired. docs/control-safety.md contains the argument.
//
// The settings may name a preferred voter for a tag. The other voters postpone their first campaign so
// that it can campaign first. If another voter holds the tag, the preferred voter gets the tag back only
// by a transfer from that holder.
package lease
