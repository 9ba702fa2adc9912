package stubserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"beaconvane/internal/backend"
)

// Change changes the announcement, and announces at once.
func (u *StubServer) Change(alter func(announcement *backend.Announcement)) {
	u.lock.Lock()
	alter(&u.Announcement)
	u.lock.Unlock()
	u.AnnounceOnce()
}

// signOff is the body of the request that ends an incarnation.
type signOff struct {
	Service     string `json:"service"`
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// SignOff tells the proxy that this incarnation has ended.
func (u *StubServer) SignOff() {
	u.lock.Lock()
	end := signOff{Service: u.Announcement.Service, Instance: u.Announcement.Instance, Incarnation: u.Announcement.Incarnation}
	u.lock.Unlock()
	body, _ := json.Marshal(end)
	u.post("/beacon/signoff", body)
}

// announce announces at a steady interval until the context ends.
func (u *StubServer) announce(ctx context.Context) {
	ticker := time.NewTicker(u.Every)
	defer ticker.Stop()
	u.AnnounceOnce()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.AnnounceOnce()
		}
	}
}

// AnnounceOnce announces to the first proxy that answers.
func (u *StubServer) AnnounceOnce() {
	u.lock.Lock()
	body, _ := json.Marshal(u.Announcement)
	u.lock.Unlock()
	u.post("/beacon/announce", body)
}

// post sends a body to the proxies in turn until one answers, which is the serving proxy from then on.
func (u *StubServer) post(path string, body []byte) {
	for _, proxyNode := range u.Proxies {
		response, err := u.announceClient.Post("http://"+proxyNode+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // only the status counts
		response.Body.Close()
		if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound {
			u.lock.Lock()
			u.servingProxy = proxyNode
			u.lock.Unlock()
			return
		}
	}
}
