// Package membership keeps track of which nodes the fleet has, by the SWIM protocol
// (Das, Gupta and Motivala, 2002).
//
// Each node probes the others in turn, in a shuffled round: a ping, and where no ack comes in time a
// ping-req to a few other nodes, which ping the target on its behalf (probe.go). A node that stays
// silent is suspected first and declared dead when the suspicion has run out; it refutes a suspicion
// with a higher incarnation number (suspicion.go). What changes is piggybacked on pings and acks
// (gossip.go), and a rule of precedence decides between what a node knows and what it is told
// (merge.go).
//
// Two things go beyond the paper. A start time tells two lives of one name apart, and an ack counts
// only when it bears the name that was probed, so that an address that passed to another node is not
// taken for its old owner. And each node asks a seed, or an address that it has known before, for the
// member list now and then, so that the halves of a network partition find each other again and
// seeds can be replaced (join.go). A digest of what the asker knows keeps the answers short
// (digest.go).
package membership
