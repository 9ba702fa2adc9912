// Package membership maintains the list of the fleet's nodes with the SWIM protocol (Das, Gupta and
// Motivala, 2002).
//
// Each node probes the others in a shuffled round-robin order. It sends a ping and, if no ack arrives
// in time, a ping-req to a few other nodes, which ping the target on its behalf (probe.go). A node that
// does not answer is first suspected, and is declared dead when the suspicion times out. It refutes a
// suspicion with a higher incarnation number (suspicion.go). Changes are piggybacked on pings and acks
// (gossip.go), and an order of precedence resolves conflicting updates (merge.go).
//
// The implementation extends the paper in two ways. First, a start time distinguishes successive
// processes with the same name, and an ack counts only if it contains the name that was probed, so that
// an address that has been reassigned to another node is not attributed to its previous owner. Second,
// each node periodically requests the member list from a seed or another address that it has known, so
// that both sides of a network partition find each other again and seeds can be replaced (join.go). A
// digest of the requester's list keeps the responses short (digest.go).
package membership
