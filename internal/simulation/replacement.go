package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/configstore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/storage"
)

// replacementSuffix ends the name of a machine that runs beside the frozen one it replaces.
const replacementSuffix = "-heir"

// replaceVoter replaces a voter's machine by an empty one of the same name at a new address.
func (w *World) replaceVoter(machine string, downtime time.Duration) {
	nodes := w.machineNodes(machine)
	for _, node := range nodes {
		node.kill(true, true)
	}
	w.after(downtime, func() {
		for _, node := range nodes {
			old := node.settings.Address
			parts := strings.SplitN(old, ":", 2)
			newAddress := parts[0] + "9:" + parts[1]
			if _, taken := w.nodeByAddress[newAddress]; taken {
				newAddress = parts[0] + "8:" + parts[1]
			}
			delete(w.nodeByAddress, old)
			node.settings.Address, node.settings.HTTPAddress = newAddress, newAddress
			w.nodeByAddress[newAddress] = node
		}
		// The replacement's settings list the current seeds; all other nodes keep their old ones.
		seeds := []string{}
		for _, registryNode := range w.nodesByRole(message.RoleRegistry) {
			seeds = append(seeds, registryNode.address())
		}
		for _, node := range nodes {
			node.settings.Seeds = seeds
			node.boot()
		}
	})
}

// replaceCore removes a core machine permanently and adds an empty one with another name and address,
// whose seeds are three of the current core machines.
func (w *World) replaceCore(machine string, downtime time.Duration) {
	for _, old := range w.machineNodes(machine) {
		old.kill(true, true)
		old.retired = true
		w.addedNodes++
		host, port, _ := strings.Cut(old.settings.Address, ":")
		replacement := w.addNode(old.role, fmt.Sprintf("%s-after", machine), "", old.settings.Zone,
			fmt.Sprintf("%s.%s:%s", strings.Join(strings.Split(host, ".")[:3], "."), strconv.Itoa(100+w.addedNodes), port),
			old.settings.Seeds)
		replacement.settings.Bootstrap = false
		w.after(downtime, func() {
			replacement.settings.Seeds = []string{}
			for _, registryNode := range w.nodesByRole(message.RoleRegistry) {
				if registryNode != replacement && !registryNode.retired && len(replacement.settings.Seeds) < 3 {
					replacement.settings.Seeds = append(replacement.settings.Seeds, registryNode.address())
				}
			}
			replacement.boot()
		})
	}
}

// replaceFrozenMachine freezes a core machine and starts an empty one at a new address for the same
// voter; the old one resumes later.
func (w *World) replaceFrozenMachine(machine string, duration time.Duration) {
	for index, old := range w.machineNodes(machine) {
		host := fmt.Sprintf("10.1.9.%d:7%d00", len(w.nodeOrder)+1, 4+index)
		replacement := w.addNode(old.role, machine+replacementSuffix, old.settings.Voter, old.settings.Zone, host, old.settings.Seeds)
		replacement.name, replacement.settings.Node = old.role+"/"+machine+replacementSuffix, old.settings.Node
		w.after(500*time.Millisecond, replacement.boot)
	}
	w.freeze(w.machineNodes(machine), duration)
}

// forceRecover performs the operator's force-recover command on a machine that survived the loss of the
// other disks.
func (w *World) forceRecover(machine string) {
	for _, node := range w.machineNodes(machine) {
		node.kill(true, false)
		survivor := node
		w.after(200*time.Millisecond, func() {
			store, snapshot, records, err := storage.Open(survivor.disk)
			if err != nil || snapshot == nil {
				w.fail("force-recover of %s found no snapshot: %v", survivor.name, err)
				return
			}
			self := message.Member{
				Name:    survivor.name,
				Role:    survivor.role,
				Voter:   survivor.settings.Voter,
				Address: survivor.settings.Address,
			}
			var machine interface{ ForceRecover() []byte }
			if survivor.role == message.RoleRegistry {
				machine, err = registry.New(survivor.settings, self, snapshot, records)
			} else {
				machine, err = configstore.New(survivor.settings, self, snapshot, records)
			}
			if err == nil {
				err = store.Compact(machine.ForceRecover())
			}
			if err != nil {
				w.fail("force-recover of %s failed: %v", survivor.name, err)
			}
			survivor.boot()
		})
	}
}
