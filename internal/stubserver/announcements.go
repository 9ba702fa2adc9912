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

// Change modifies the announcement and sends it immediately.
func (u *StubServer) Change(alter func(announcement *backend.Announcement)) {
	u.lock.Lock()
	alter(&u.Announcement)
	u.lock.Unlock()
	u.AnnounceOnce()
}

// signOff is the body of the request that signs off an incarnation.
type signOff struct {
	Service     string `json:"service"`
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// SignOff reports to the proxy that this incarnation has ended.
func (u *StubServer) SignOff() {
	u.lock.Lock()
	request := signOff{Service: u.Announcement.Service, Instance: u.Announcement.Instance, Incarnation: u.Announcement.Incarnation}
	u.lock.Unlock()
	body, _ := json.Marshal(request)
	u.post("/beacon/signoff", body)
}

// announce sends the announcement at intervals of Every until the context ends.
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

// AnnounceOnce sends the announcement to the first proxy that accepts it.
func (u *StubServer) AnnounceOnce() {
	u.lock.Lock()
	body, _ := json.Marshal(u.Announcement)
	u.lock.Unlock()
	u.post("/beacon/announce", body)
}

// post sends a body to the proxies in order until one answers with 200 or 404, which is the serving
// proxy from then on.
func (u *StubServer) post(path string, body []byte) {
	for _, proxyAddress := range u.Proxies {
		response, err := u.announceClient.Post("http://"+proxyAddress+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // read to the end so that the connection is reused
		response.Body.Close()
		if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound {
			u.lock.Lock()
			u.servingProxy = proxyAddress
			u.lock.Unlock()
			return
		}
	}
}
