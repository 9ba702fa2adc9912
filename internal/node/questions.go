package node

import (
	"context"

	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
)

// Tell gives the machine a notice that wants no answer.
func (n *Node) Tell(notice any) {
	select {
	case n.commands <- statemachine.Asked{Question: notice}:
	case <-n.Group.Context.Done():
	}
}

// Request puts a question to the machine and waits for its answer, at most until the context ends.
func (n *Node) Request(ctx context.Context, question any) (any, error) {
	n.lock.Lock()
	n.lastRequestID++
	requestID, waiting := n.lastRequestID, make(chan any, 1)
	n.replies[requestID] = waiting
	n.lock.Unlock()
	select {
	case n.commands <- statemachine.Asked{RequestID: requestID, Question: question}:
	case <-ctx.Done():
		return nil, errcode.Wrap("node.ask", errcode.Internal, ctx.Err())
	}
	select {
	case answer := <-waiting:
		if err, failed := answer.(error); failed {
			return nil, err
		}
		return answer, nil
	case <-ctx.Done():
		n.lock.Lock()
		delete(n.replies, requestID)
		n.lock.Unlock()
		return nil, errcode.Wrap("node.ask", errcode.Internal, ctx.Err())
	}
}

// reply hands an answer to the caller of Request, if it still waits.
func (n *Node) reply(reply statemachine.Reply) {
	n.lock.Lock()
	waiting := n.replies[reply.RequestID]
	delete(n.replies, reply.RequestID)
	n.lock.Unlock()
	if waiting != nil {
		waiting <- reply.Answer
	}
}
