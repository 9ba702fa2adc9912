package node

import (
	"context"
	"fmt"
	"sync"

	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
)

// Notify gives the machine a notice that wants no reply.
func (n *Node) Notify(notice any) {
	select {
	case n.commands <- statemachine.LocalRequest{Request: notice}:
	case <-n.Group.Context.Done():
	}
}

// Request hands a request to the machine and waits for its reply, at most until the context ends.
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

// RequestAs is Request for a caller that knows the type of the reply. A reply of another type is an
// error with the code Internal.
func RequestAs[Reply any](ctx context.Context, n *Node, request any) (Reply, error) {
	answer, err := n.Request(ctx, request)
	if err != nil {
		var none Reply
		return none, err
	}
	reply, known := answer.(Reply)
	if !known {
		return reply, errcode.Wrap("node.ask", errcode.Internal, fmt.Errorf("%T is answered with %T", request, answer))
	}
	return reply, nil
}

// pendingRequests are the requests to the machine whose callers still wait.
type pendingRequests struct {
	lock    sync.Mutex
	lastID  int64
	replies map[int64]chan any // by request; each takes one reply without blocking
}

func newPendingRequests() *pendingRequests { return &pendingRequests{replies: map[int64]chan any{}} }

// open returns the number of a new request, and where its reply will come.
func (p *pendingRequests) open() (requestID int64, reply <-chan any) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.lastID++
	replyChannel := make(chan any, 1)
	p.replies[p.lastID] = replyChannel
	return p.lastID, replyChannel
}

// cancel drops a request for which nobody waits any more.
func (p *pendingRequests) cancel(requestID int64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.replies, requestID)
}

// reply hands a reply to the caller, if it still waits.
func (p *pendingRequests) reply(requestID int64, reply any) {
	p.lock.Lock()
	replyChannel := p.replies[requestID]
	delete(p.replies, requestID)
	p.lock.Unlock()
	if replyChannel != nil {
		replyChannel <- reply
	}
}

// failAll ends every open request with an error.
func (p *pendingRequests) failAll(err error) {
	p.lock.Lock()
	replies := p.replies
	p.replies = map[int64]chan any{}
	p.lock.Unlock()
	for _, replyChannel := range replies {
		replyChannel <- err
	}
}
