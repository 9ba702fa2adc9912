package scaletest

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/transport"
)

// HollowFleet holds the nodes of a fleet that run in one process.
type HollowFleet struct {
	nodes     []*hollowNode
	startedAt time.Time
	arrivals  *arrivals
}

// NewHollowFleet starts the given nodes in this process.
func NewHollowFleet(specs []NodeSpec) (*HollowFleet, error) {
	h := &HollowFleet{startedAt: time.Now(), arrivals: newArrivals()}
	for _, spec := range specs {
		hollow := &hollowNode{spec: spec, arrivals: h.arrivals, pastCounts: map[string]transport.Count{}}
		h.nodes = append(h.nodes, hollow)
		if err := hollow.start(); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

// Close kills all nodes.
func (h *HollowFleet) Close() {
	for _, hollow := range h.nodes {
		hollow.kill()
	}
}

// Do executes one request. An error is returned as Answer.Fault.
func (h *HollowFleet) Do(request Request) Answer {
	answer, err := h.do(request)
	if err != nil {
		answer.Fault = err.Error()
	}
	return answer
}

// do executes one request and returns its error separately.
func (h *HollowFleet) do(request Request) (Answer, error) {
	if request.Index < 0 || request.Index >= len(h.nodes) {
		return Answer{}, errcode.Wrap("scaletest.do", errcode.ConfigBadValue,
			fmt.Errorf("node index %d is out of range: the process has %d nodes", request.Index, len(h.nodes)))
	}
	hollow := h.nodes[request.Index]
	switch request.Command {
	case CommandRead:
		return Answer{Reading: h.read()}, nil
	case CommandMemory:
		return Answer{Reading: h.readMemory()}, nil
	case CommandState:
		return Answer{State: h.state()}, nil
	case CommandArrivals:
		state := newState()
		h.arrivals.addTo(state)
		return Answer{State: state}, nil
	case CommandWrite:
		return Answer{}, hollow.write(request)
	case CommandKill:
		hollow.kill()
		return Answer{}, nil
	case CommandStart:
		return Answer{}, hollow.start()
	}
	return Answer{}, errcode.Wrap("scaletest.do", errcode.ConfigBadValue, fmt.Errorf("unknown command %q", request.Command))
}
