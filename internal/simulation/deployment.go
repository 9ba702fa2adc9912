package simulation

import (
	"fmt"

	"beaconvane/internal/message"
	"beaconvane/internal/workload"
)

// addDeployment adds the nodes and upstreams of the deployment, without starting them.
func (w *World) addDeployment() {
	d := w.options.Deployment
	seeds := []string{}
	for index := range workload.Voters {
		seeds = append(seeds, fmt.Sprintf("10.1.0.%d:7400", index+1))
	}
	for index, voter := range d.CoreNames() {
		zone := d.CoreZone(index)
		host := fmt.Sprintf("10.1.0.%d", index+1)
		w.addNode(message.RoleRegistry, voter, voter, zone, host+":7400", seeds)
		w.addNode(message.RoleConfigStore, voter, voter, zone, host+":7500", seeds)
	}
	for number := range d.Proxies {
		w.addNode(message.RoleProxy, fmt.Sprintf("edge-%d", number+1), "", d.Zones[number%len(d.Zones)],
			fmt.Sprintf("10.2.0.%d:7400", number+1), seeds)
	}
	number := 0
	for _, service := range d.Services {
		for index := range service.Count {
			w.addUpstream(service, index, number)
			number++
		}
	}
}
