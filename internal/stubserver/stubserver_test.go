package stubserver

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/goroutine"
)

// A stub server without configured faults and other statuses must answer every request with 200. The
// tour and CI's smoke test send a single request and depend on its status.
func TestAnswersAreOKByDefault(t *testing.T) {
	c := qt.New(t)
	group := goroutine.New()
	server := &StubServer{
		Announcement: backend.Announcement{Service: "dispatch", Instance: "d1", Address: "127.0.0.1:0"},
		Proxies:      []string{"127.0.0.1:1"},
		Base:         time.Now(),
		Every:        time.Hour,
	}
	c.Assert(server.Start(group), qt.IsNil)
	defer server.Kill()
	client := &http.Client{Timeout: 10 * time.Second}
	for range 300 {
		target := fmt.Sprintf("http://%s/", server.Announcement.Address)
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, target, nil)
		c.Assert(err, qt.IsNil)
		response, err := client.Do(request)
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
}

func TestStatusDrawsEachOtherStatusInItsShare(t *testing.T) {
	c := qt.New(t)
	counts := map[int]int{}
	const draws = 1200
	for index := range draws {
		counts[Status(func() float64 { return float64(index) / draws }, UsualOtherShare)]++
	}
	c.Assert(counts[http.StatusOK], qt.Equals, draws-draws/12)
	for _, status := range OtherStatuses {
		c.Assert(counts[status], qt.Equals, draws/12/len(OtherStatuses))
	}
}
