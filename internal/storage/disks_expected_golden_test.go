package storage_test

import (
	"encoding/hex"
	"fmt"

	"beaconvane/internal/message"
)

// Identities on the disks. The identity of a discovered voter consists of edition~random@node, a separator
// byte and the zone; a replaced voter has the next edition.
const (
	namedFirst       = "ijiyrpbcu7mp194i895tfmvye"
	namedReplacement = "tu30jwrk8n2f1i2gx2gnstjvx"
	namedSecond      = "3sirpsx4ba3ak1gb2rp05pmx0u"
	namedThird       = "1id9a6adxcw37zal63zbztujy"

	discoveredFirst       = "00000000~ijiyrpbcu7mp194i895tfmvye@node-1\x1eeast"
	discoveredReplacement = "00000001~r56viqxkr1bnpe9ebtli8p11@node-1\x1eeast"
	discoveredSecond      = "00000000~3sirpsx4ba3ak1gb2rp05pmx0u@node-2\x1eeast"
	discoveredThird       = "00000000~1id9a6adxcw37zal63zbztujy@node-3\x1eeast"
)

// Digests of the registrations in the positions of the slices on the disks, and the slots of the upstream
// in the zone west.
const (
	eastHash             = 8114419860276171883
	westHashWith20Slots  = 329917025111868407
	westHashWith32Slots  = 5245625817369700400
	westSlotsAtDiskLoss  = 20
	westSlotsWhenSettled = 32
)

// versionDigests contains the SHA-256 digests of the versions on the disks.
var versionDigests = map[int64]string{
	1:  "b32e16a43d9dc618cd346a1e0f1948907312c1c0012a5eb97e8195f7e6de93b0",
	2:  "fceda5d3284ecded25cb6d9f85d20940860d44aca6cb2cb78cc82fe2eff31d53",
	3:  "db8e7bf24895558f52f103976b40d2e09582c36a562251cc811f6722cc82c95a",
	4:  "21861d658952e554c45cbb5ff381d760079681d6a550320fe167fb2e9926be69",
	5:  "d1bdaaa0b7b6bdc19a7cc563f21e9be4dd834d5586de57f72fd7698568a8e1fa",
	6:  "5b238e9bb2b229d621eaaacf6e1b56ee05d3dbf390130ec04781e6c782b4fa84",
	7:  "abc190595a509f3cdd01a3556a3639884fd2f0a42179b71b13a0ac10f4797f4a",
	8:  "739c42982c6305a0af500a4b9b4ff10f7ea0a6e0b777b6c42bf56c838ae5e0ef",
	10: "52bdb915d1b49caa0ebef47f0c3516ef5441d1a2718018d247f2ce218b277103",
	11: "ab94ea28fdcfa3fe2394e6db4b5c5f4ad6eec89d34e5c3a127a7a2bb872d7066",
	12: "c84e6028dd2aa992e667a57f102ef0636c90a815ca24e677932a176cc16a82e7",
	13: "3abaeb810aaabae039fe9d79ccbef66a967cebf9433c00a38a0eeeb83732b8da",
	14: "a286a90f41478cb421021978b52ba6c923bd9d1ae10a178b460d1e9093306353",
	15: "1d6ad3942b83966a5cfce9e4b95eceb309b2d9a5897d456ab4025e9939f23e80",
	16: "c865f8a07f29b011a5e97aa62dd61d9d1668994dd4d86262b5324b89df5ccae0",
	17: "28a59b348b248f9c5e2e3b51f0f0e3aef406d2e8c889de3a9d597fd574330d43",
	18: "b6b65a4e934284de29ea100015c311fddd45defefebfbf355e588a31f24dd5d7",
	19: "2539b589223f1a46faffbf6c8efdbad2253c747c6891e858ac1e60b983ca2904",
	20: "8cb5ac36ae8cb526bc1732940659f0b37bf155c66b1a2ffb3cfefb12b2528948",
	21: "b3d676bde060a98ad32ff94b2f3725af320668bae5c18e852eb98cb47c28670a",
}

// logPosition is the position of a version in the configuration log.
type logPosition struct{ version, epoch, seq int64 }

// entriesOf returns the log's entries of one configuration.
func entriesOf(configName string, positions ...logPosition) []message.StoredConfiguration {
	entries := []message.StoredConfiguration{}
	for _, at := range positions {
		body := fmt.Sprintf(`{"version":%d,"services":["x"],"tenants":[],"routes":[]}`, at.version)
		entries = append(entries, message.StoredConfiguration{
			ConfigName: configName, Version: at.version, Epoch: at.epoch, Seq: at.seq, Body: []byte(body),
		})
	}
	return entries
}

// digestsOf returns the history of versions; odd versions belong to the configuration "other".
func digestsOf(versions ...int64) []message.VersionDigest {
	digests := []message.VersionDigest{}
	for _, version := range versions {
		digest, err := hex.DecodeString(versionDigests[version])
		if err != nil {
			panic(err)
		}
		configName := goldenConfigNames[version%2]
		digests = append(digests, message.VersionDigest{ConfigName: configName, Version: version, Digest: digest})
	}
	return digests
}

// namedVoter returns the state of a voter if the settings contain the names of the voters.
func namedVoter(identity string) message.VoterState {
	return message.VoterState{
		Identity:           identity,
		Formed:             true,
		Voting:             true,
		Proposal:           map[string]string{"1": namedFirst, "2": namedSecond, "3": namedThird},
		MemberList:         map[string]string{"1": namedReplacement, "2": namedSecond, "3": namedThird},
		ReplacedIdentities: []string{namedFirst},
	}
}

// discoveredVoter returns the state of a voter if the settings contain only the number of voters.
func discoveredVoter(voter, identity string) message.VoterState {
	return message.VoterState{
		Identity:           identity,
		Formed:             true,
		Voting:             true,
		Proposal:           map[string]string{"1": discoveredFirst, "2": discoveredSecond, "3": discoveredThird},
		MemberList:         map[string]string{"1": discoveredReplacement, "2": discoveredSecond, "3": discoveredThird},
		ReplacedIdentities: []string{},
		Voter:              voter,
		Founder:            true,
		Round:              1,
	}
}

// entriesAtDiskLoss returns the entries of the log when a voter loses its disk.
func entriesAtDiskLoss() []message.StoredConfiguration {
	return append(
		entriesOf("main", logPosition{2, 1, 2}, logPosition{4, 1, 4}, logPosition{6, 1, 6}, logPosition{8, 1, 8}),
		entriesOf("other", logPosition{1, 1, 1}, logPosition{3, 1, 3}, logPosition{5, 1, 5}, logPosition{7, 1, 7})...)
}

// historyAtDiskLoss returns the history of the log when a voter loses its disk.
func historyAtDiskLoss() []message.VersionDigest { return digestsOf(1, 2, 3, 4, 5, 6, 7, 8) }

// newRegistration returns a registration that the proxy of the golden fleet sent.
func newRegistration(zone string, number, incarnation, slots int64, state string) message.Registration {
	return message.Registration{
		Service:               fmt.Sprintf("service-%d", number),
		Instance:              fmt.Sprintf("instance-%d", number),
		Incarnation:           incarnation,
		Address:               fmt.Sprintf("10.0.1.%d:80", number),
		Zone:                  zone,
		Slots:                 slots,
		State:                 state,
		ServingProxy:          "proxy/p",
		ServingProxyAddress:   "10.0.0.8:9000",
		ServingProxyStartTime: 1_234_567,
	}
}

// eastSlice returns the roster of the zone east at a position.
func eastSlice(epoch, seq int64) message.RosterSnapshot {
	return message.RosterSnapshot{
		Zone:     "east",
		Position: message.Position{Topic: "slice:east", Epoch: epoch, Seq: seq, Count: 2, Hash: eastHash},
		Registrations: []message.Registration{
			newRegistration("east", 1, 102, 9, "ready"),
			newRegistration("east", 2, 102, 10, "leaving"),
		},
	}
}

// westSlice returns the roster of the zone west at a position.
func westSlice(epoch, seq, hash, slots int64) message.RosterSnapshot {
	return message.RosterSnapshot{
		Zone:          "west",
		Position:      message.Position{Topic: "slice:west", Epoch: epoch, Seq: seq, Count: 1, Hash: hash},
		Registrations: []message.Registration{newRegistration("west", 3, 103, slots, "ready")},
	}
}

// sealedWindow returns the final counts of a window; the first tenant's count is the window's number.
func sealedWindow(window, epoch, second int64) message.UsageSealed {
	counts := map[string]int64{"tenant-1": window, "tenant-2": second}
	return message.UsageSealed{Window: window, Epoch: epoch, Counts: counts}
}

// unreportedUsage returns the proxy's counts in a window that is not sealed yet.
func unreportedUsage(window, number int64) message.UnreportedUsage {
	return message.UnreportedUsage{Proxies: []message.ProxyUsage{{
		Window:   window,
		ProxyRun: "proxy/p/qglj",
		Sequence: number,
		Counts:   map[string]int64{"tenant-1": window, "tenant-2": number},
		InFlight: map[string]int64{"tenant-1": 2},
	}}}
}

// sealedAtDiskLoss returns the sealed windows when a voter loses its disk.
func sealedAtDiskLoss() []message.UsageSealed {
	return []message.UsageSealed{
		sealedWindow(199_998, 1, 1), sealedWindow(199_999, 1, 2), sealedWindow(200_000, 1, 19), sealedWindow(200_001, 1, 35),
	}
}

// expectedConfigStores returns the states on the golden disks of configstores, by disk name.
func expectedConfigStores() map[string]message.ConfigStoreState {
	knownAddresses := []string{"10.0.0.1:7000", "10.0.0.3:7000", "10.0.0.1:7000", "10.0.0.3:7000"}
	return map[string]message.ConfigStoreState{
		"configstore-discovered": {
			Voter:          discoveredVoter("2", discoveredSecond),
			Votes:          []message.Vote{{LeaseName: "config-log", Epoch: 1, Holder: "1", Identity: discoveredFirst}},
			Epoch:          1,
			Seq:            8,
			Configurations: entriesAtDiskLoss(),
			History:        historyAtDiskLoss(),
			KnownAddresses: knownAddresses,
		},
		"configstore-named": {
			Voter:          namedVoter(namedSecond),
			Votes:          []message.Vote{{LeaseName: "config-log", Epoch: 1, Holder: "1", Identity: namedFirst}},
			Epoch:          1,
			Seq:            8,
			Configurations: entriesAtDiskLoss(),
			History:        historyAtDiskLoss(),
			KnownAddresses: knownAddresses,
		},
		"configstore-settled": {
			Voter: namedVoter(namedSecond),
			Votes: []message.Vote{{LeaseName: "config-log", Epoch: 5, Holder: "1", Identity: namedReplacement, PreviousHolder: "2"}},
			Epoch: 5,
			Seq:   2,
			Configurations: append(
				entriesOf("main", logPosition{2, 1, 2}, logPosition{4, 1, 4}, logPosition{6, 1, 6}, logPosition{8, 1, 8},
					logPosition{10, 2, 1}, logPosition{12, 2, 3}, logPosition{14, 2, 5}, logPosition{16, 2, 7},
					logPosition{18, 2, 9}, logPosition{20, 5, 1}),
				entriesOf("other", logPosition{1, 1, 1}, logPosition{3, 1, 3}, logPosition{5, 1, 5}, logPosition{7, 1, 7},
					logPosition{11, 2, 2}, logPosition{13, 2, 4}, logPosition{15, 2, 6}, logPosition{17, 2, 8},
					logPosition{19, 2, 10}, logPosition{21, 5, 2})...),
			History:        digestsOf(1, 2, 3, 4, 5, 6, 7, 8, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21),
			KnownAddresses: []string{"10.0.0.1:7000", "10.0.0.3:7000", "10.0.0.1:7000"},
		},
	}
}

// expectedRegistries returns the states on the golden disks of registries, by disk name.
func expectedRegistries() map[string]message.RegistryState {
	knownAddresses := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.1:7000", "10.0.0.2:7000"}
	return map[string]message.RegistryState{
		"registry-discovered": {
			Voter: discoveredVoter("3", discoveredThird),
			Votes: []message.Vote{
				{LeaseName: "east", Epoch: 2, Holder: "2", Identity: discoveredSecond, PreviousHolder: "1"},
				{LeaseName: "usage", Epoch: 1, Holder: "3", Identity: discoveredThird},
				{LeaseName: "west", Epoch: 1, Holder: "2", Identity: discoveredSecond},
			},
			Slices:             []message.RosterSnapshot{eastSlice(1, 4), westSlice(1, 12, westHashWith20Slots, westSlotsAtDiskLoss)},
			Sealed:             sealedAtDiskLoss(),
			LastReportedWindow: 200_001,
			KnownAddresses:     knownAddresses,
			Usage:              unreportedUsage(200_002, 37),
		},
		"registry-named": {
			Voter: namedVoter(namedThird),
			Votes: []message.Vote{
				{LeaseName: "east", Epoch: 2, Holder: "2", Identity: namedSecond, PreviousHolder: "1"},
				{LeaseName: "usage", Epoch: 1, Holder: "3", Identity: namedThird},
				{LeaseName: "west", Epoch: 1, Holder: "2", Identity: namedSecond},
			},
			Slices:             []message.RosterSnapshot{eastSlice(1, 4), westSlice(1, 12, westHashWith20Slots, westSlotsAtDiskLoss)},
			Sealed:             sealedAtDiskLoss(),
			LastReportedWindow: 200_001,
			KnownAddresses:     knownAddresses,
			Usage:              unreportedUsage(200_002, 37),
		},
		"registry-settled": {
			Voter: discoveredVoter("2", discoveredSecond),
			Votes: []message.Vote{
				{LeaseName: "east", Epoch: 5, Holder: "1", Identity: discoveredReplacement, PreviousHolder: "2"},
				{LeaseName: "usage", Epoch: 2, Holder: "2", Identity: discoveredSecond, PreviousHolder: "3", RecentHolders: "3"},
				{LeaseName: "west", Epoch: 1, Holder: "2", Identity: discoveredSecond},
			},
			Slices: []message.RosterSnapshot{eastSlice(5, 0), westSlice(1, 24, westHashWith32Slots, westSlotsWhenSettled)},
			Sealed: append(sealedAtDiskLoss(),
				sealedWindow(200_002, 1, 52), sealedWindow(200_003, 2, 69), sealedWindow(200_004, 2, 85)),
			LastReportedWindow: 200_004,
			KnownAddresses:     []string{"10.0.0.1:7000"},
			Usage:              unreportedUsage(200_005, 86),
		},
	}
}
