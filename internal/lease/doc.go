// Package lease decides which voter of a group is active for a tag: at most one at a time, chosen by
// the voters themselves.
//
// Each voter plays three roles for a tag, and each role is a type of its own.
//
//   - The acceptor grants votes. It writes the epoch and the candidate to disk, synced, before it
//     grants, and promises not to grant another candidate for the length of a lease. A voter that
//     restarts has forgotten when it promised, so it waits a full lease first; only the candidate that
//     its own disk names is granted at once, since the promise was made to that one.
//   - The candidate asks all voters for an epoch higher than any that it knows. A pre-vote comes first:
//     it asks whether a vote would be granted and changes nothing, so a voter that merely missed some
//     renewals finds out that the others still hear the holder, and disturbs nobody.
//   - The holder renews its lease. It counts the lease from when it asked, and stops acting a margin
//     before the voters' promises end. A holder that finds a voter which has voted for another, or for
//     a higher epoch, raises its own epoch, so that all voters stand behind it again.
//
// Safety rests on the epochs, not on the clocks: an epoch has one holder, every act of a holder
// carries its epoch, and receivers refuse a lower one. The clocks only make it rare that a holder whose
// lease has ended tries to act. docs/control-safety.md has the argument.
//
// The settings may name a preferred voter for a tag. That voter asks first, and gets the tag back from
// another holder only when the holder transfers it.
package lease
