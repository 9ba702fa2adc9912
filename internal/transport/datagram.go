package transport

import (
	"context"
	"net"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// maxDatagramBytes is the size of the receive buffer, which holds any datagram.
const maxDatagramBytes = 65536

// Datagram sends a message over UDP. It is not paced, but its bytes delay later traffic.
func (t *Transport) Datagram(to string, sent any) error {
	frame, err := message.Encode(sent)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return errcode.Wrap("transport.datagram", errcode.ConnectionLost, err)
	}
	if _, err := t.datagrams.WriteTo(frame, target); err != nil {
		return errcode.Wrap("transport.datagram", errcode.ConnectionLost, err)
	}
	t.pacer.charge(len(frame))
	t.counters.add(protocolUDP, outbound, frame[0], len(frame))
	return nil
}

// receiveDatagrams passes received messages to the handler until the socket is closed. Datagrams that can't be
// decoded are dropped.
func (t *Transport) receiveDatagrams(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := t.datagrams.ReadFrom(buffer)
		if err != nil {
			if !waitBeforeRetry(ctx, err) {
				return
			}
			continue
		}
		if received, err := message.Decode(buffer[:size]); err == nil {
			t.counters.add(protocolUDP, inbound, buffer[0], size)
			t.handler(from.String(), received, nil)
		}
	}
}
