package configstore

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// The complete log must fit in one frame. Otherwise a voter whose disk was replaced could never fetch it.
func TestTheConfigLogFitsAFrame(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Voter, cfg.Voters, cfg.ConfigNames = "a", []string{"a", "b", "c"}, []string{"main", "other"}
	m, err := New(cfg, message.Member{Name: "a"}, nil, nil)
	c.Assert(err, qt.IsNil)
	body := make([]byte, cfg.Limits.Configuration)
	for version := int64(1); version <= cfg.Limits.RetainedVersions*2; version++ {
		for _, configName := range cfg.ConfigNames {
			m.log.append(0, 0, message.StoredConfiguration{ConfigName: configName, Version: version, Body: body})
		}
		frame, err := message.Encode(message.VoterGrant{MemberList: map[string]string{}, State: m.Snapshot()})
		c.Assert(err, qt.IsNil)
		c.Assert(int64(len(frame)) <= cfg.Limits.Frame, qt.IsTrue, qt.Commentf("%d bytes after version %d", len(frame), version))
		for _, configName := range cfg.ConfigNames {
			current, known := m.current(configName)
			c.Assert(known, qt.IsTrue)
			c.Assert(current.Version, qt.Equals, version)
		}
	}
	for version := int64(100); version <= 200; version++ {
		m.log.append(0, 0, message.StoredConfiguration{ConfigName: "main", Version: version, Body: []byte("small")})
	}
	c.Assert(int64(len(m.log.versions["main"])), qt.Equals, cfg.Limits.RetainedVersions)
}
