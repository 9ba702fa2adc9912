package node

import (
	"context"
	"fmt"

	"beaconvane/internal/errcode"
	"beaconvane/internal/locking"
	"beaconvane/internal/statemachine"
)

// Notify sends a notice, to which there is no reply, to the machine. It blocks while the command queue is
// full.
func (n *Node) Notify(notice any) {
	select {
	case n.commands <- statemachine.LocalRequest{Request: notice}:
	case <-n.Group.Context.Done():
	}
}

// Request sends a request to the machine and waits for the reply until ctx ends.
func (n *Node) Request(ctx context.Context, request any) (any, error) {
	requestID, replies := n.requests.open()
	select {
	case n.commands <- statemachine.LocalRequest{RequestID: requestID, Request: request}:
	case <-ctx.Done():
		return nil, errcode.Wrap("node.ask", errcode.Internal, ctx.Err())
	}
	select {
	case reply := <-replies:
		if err, failed := reply.(error); failed {
			return nil, err
		}
		return reply, nil
	case <-ctx.Done():
		n.requests.cancel(requestID)
		return nil, errcode.Wrap("node.ask", errcode.Internal, ctx.Err())
	}
}

// RequestAs calls Request and converts the reply to the expected type. A reply of another type is an error
// with the code Internal.
func RequestAs[Reply any](ctx context.Context, n *Node, request any) (Reply, error) {
	answer, err := n.Request(ctx, request)
	if err != nil {
		var none Reply
		return none, err
	}
	reply, known := answer.(Reply)
	if !known {
		return reply, errcode.Wrap("node.ask", errcode.Internal, fmt.Errorf("reply to %T has unexpected type %T", request, answer))
	}
	return reply, nil
}

// pendingRequests holds the requests to the machine that have no reply yet.
type pendingRequests struct {
	lock    locking.Mutex
	lastID  int64
	replies map[int64]chan any // by request ID; each has a buffer for its one reply
}

func newPendingRequests() *pendingRequests { return &pendingRequests{replies: map[int64]chan any{}} }

// open registers a new request. It returns its ID and the channel that receives its reply.
func (p *pendingRequests) open() (requestID int64, reply <-chan any) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.lastID++
	replyChannel := make(chan any, 1)
	p.replies[p.lastID] = replyChannel
	return p.lastID, replyChannel
}

// cancel removes a request whose caller has stopped waiting.
func (p *pendingRequests) cancel(requestID int64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.replies, requestID)
}

// reply sends a reply to the caller, unless the request was cancelled.
func (p *pendingRequests) reply(requestID int64, reply any) {
	p.lock.Lock()
	replyChannel := p.replies[requestID]
	delete(p.replies, requestID)
	p.lock.Unlock()
	if replyChannel != nil {
		replyChannel <- reply
	}
}

// failAll replies to every pending request with an error.
func (p *pendingRequests) failAll(err error) {
	p.lock.Lock()
	replies := p.replies
	p.replies = map[int64]chan any{}
	p.lock.Unlock()
	for _, replyChannel := range replies {
		replyChannel <- err
	}
}
