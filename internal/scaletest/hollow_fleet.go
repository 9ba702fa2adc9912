package scaletest

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/transport"
)

// HollowFleet is the share of a fleet that runs in one process.
type HollowFleet struct {
	nodes     []*hollowNode
	startedAt time.Time
	arrivals  *arrivals
}

// NewHollowFleet starts the nodes of a process.
func NewHollowFleet(parts []Part) (*HollowFleet, error) {
	h := &HollowFleet{startedAt: time.Now(), arrivals: newArrivals()}
	for _, part := range parts {
		started := &hollowNode{part: part, arrivals: h.arrivals, pastCounts: map[string]transport.Count{}}
		h.nodes = append(h.nodes, started)
		if err := started.start(); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

// Close kills all nodes.
func (h *HollowFleet) Close() {
	for _, closed := range h.nodes {
		closed.kill()
	}
}

// Do carries out one request.
func (h *HollowFleet) Do(request Request) Answer {
	answer, err := h.do(request)
	if err != nil {
		answer.Fault = err.Error()
	}
	return answer
}

func (h *HollowFleet) do(request Request) (Answer, error) {
	if request.Index < 0 || request.Index >= len(h.nodes) {
		return Answer{}, errcode.Wrap("scaletest.do", errcode.ConfigBadValue, fmt.Errorf("no part %d", request.Index))
	}
	chosen := h.nodes[request.Index]
	switch request.Command {
	case CommandRead:
		return Answer{Reading: h.read()}, nil
	case CommandWeigh:
		return Answer{Reading: h.weigh()}, nil
	case CommandState:
		return Answer{State: h.state()}, nil
	case CommandReached:
		state := newState()
		h.arrivals.addTo(state)
		return Answer{State: state}, nil
	case CommandWrite:
		return Answer{}, chosen.write(request)
	case CommandKill:
		chosen.kill()
		return Answer{}, nil
	case CommandStart:
		return Answer{}, chosen.start()
	}
	return Answer{}, errcode.Wrap("scaletest.do", errcode.ConfigBadValue, fmt.Errorf("no command %q", request.Command))
}
