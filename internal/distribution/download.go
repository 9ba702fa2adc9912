package distribution

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// stalledIntervals is the number of update intervals without progress after which a chunk is requested
// again.
const stalledIntervals = 2

// download is a snapshot being received in chunks. Each chunk is requested after the previous one has
// arrived.
type download struct {
	position   message.Position
	total      int64 // size of the complete snapshot in bytes
	received   []byte
	progressAt time.Duration
}

// receiveSnapshot processes a complete snapshot or one chunk. It returns the body once it is complete;
// otherwise it requests the next chunk.
func (d *Distribution) receiveSnapshot(env *statemachine.Env, item message.UpdateItem) (body []byte, complete bool) {
	topic := item.Position.Topic
	if isComplete(item) {
		delete(d.downloads, topic)
		return item.Body, true
	}
	current := d.downloadFor(item)
	if current == nil || item.Offset != int64(len(current.received)) {
		return nil, false
	}
	current.received = append(current.received, item.Body...)
	current.progressAt = env.Now
	if int64(len(current.received)) == current.total {
		delete(d.downloads, topic)
		return current.received, true
	}
	d.requestChunk(env, topic, current)
	return nil, false
}

// downloadFor returns the download that a chunk belongs to. The first chunk of a snapshot starts a new
// download and replaces one at another position. For any other chunk without a download it returns nil.
func (d *Distribution) downloadFor(item message.UpdateItem) *download {
	topic := item.Position.Topic
	current, running := d.downloads[topic]
	if running && current.position.SameContent(item.Position) {
		return current
	}
	if item.Offset != 0 {
		return nil
	}
	d.downloads[topic] = &download{position: item.Position, total: item.SnapshotBytes}
	return d.downloads[topic]
}

// resumeDownloads requests the next chunk of each stalled download again.
func (d *Distribution) resumeDownloads(env *statemachine.Env) {
	for _, topic := range d.topicNames() {
		current, running := d.downloads[topic]
		if running && env.Now-current.progressAt > d.settings.UpdatesEvery()*stalledIntervals {
			current.progressAt = env.Now
			d.requestChunk(env, topic, current)
		}
	}
}

// requestChunk requests the chunk after the bytes that have been received.
func (d *Distribution) requestChunk(env *statemachine.Env, topic string, current *download) {
	self := d.membership.Self()
	env.Send(d.parent.address, message.UpdatesRequest{
		Round:          chunkRound,
		Child:          self.Name,
		Role:           self.Role,
		Positions:      []message.Position{current.position},
		SnapshotTopic:  topic,
		SnapshotOffset: int64(len(current.received)),
	})
}
