package distribution

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// stalledIntervals is after how many update intervals without progress a part is requested again.
const stalledIntervals = 2

// download is a snapshot that arrives in parts, each requested when the one before has arrived.
type download struct {
	position   message.Position
	total      int64 // bytes of the whole snapshot
	received   []byte
	progressAt time.Duration
}

// receiveSnapshot takes a snapshot or a part of one. It returns the whole snapshot once all of it
// is here, and requests the next part before that.
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
	d.requestPart(env, topic, current)
	return nil, false
}

// downloadFor returns the download that a part belongs to. A first part begins one; it returns nil
// for any other part of a snapshot that is not being downloaded.
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

// resumeDownloads requests the next part of each download that does not progress.
func (d *Distribution) resumeDownloads(env *statemachine.Env) {
	for _, topic := range d.topicNames() {
		current, running := d.downloads[topic]
		if running && env.Now-current.progressAt > d.settings.UpdatesEvery()*stalledIntervals {
			current.progressAt = env.Now
			d.requestPart(env, topic, current)
		}
	}
}

// requestPart requests what follows the bytes that have arrived.
func (d *Distribution) requestPart(env *statemachine.Env, topic string, current *download) {
	self := d.membership.Self()
	env.Send(d.parent.address, message.UpdatesRequest{
		Round:          partRound,
		Child:          self.Name,
		Role:           self.Role,
		Positions:      []message.Position{current.position},
		SnapshotTopic:  topic,
		SnapshotOffset: int64(len(current.received)),
	})
}
