package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// secondKey is another key of the tenant, foreignKey one that no configuration ever held.
const (
	secondKey  = "8pjbvk9m68k7b2ex5wa5"
	foreignKey = "3fexd9dnn2ctnfzs989a"
)

// withKeys returns a configuration whose tenant has the given keys.
func withKeys(version int, keys ...string) []byte {
	var content map[string]any
	_ = json.Unmarshal(configuration(version, "alpha", "alpha"), &content)
	content["tenants"] = []map[string]any{{"name": "pulo780", "keys": append([]string{}, keys...), "priority": 1}}
	body, _ := json.Marshal(content)
	return body
}

// lastKeys: the tenant of a deployment loses all its keys.
func lastKeys(f *fleet, trouble bool) int {
	if _, ok := setUp(f, f.cores[0], []string{"alpha"}, withKeys(10, key, secondKey)); !ok {
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	before := f.requestWithKey(f.sidecars[0], foreignKey)
	f.record.say("a key that no configuration held, before: %d", before.status)
	if before.status != http.StatusUnauthorized {
		return exitNotRun
	}
	// One key is taken away, and with the disruption the other one gap_s later.
	versions := [][]byte{withKeys(20, secondKey)}
	if trouble {
		versions = append(versions, withKeys(30))
	}
	for number, version := range versions {
		if number > 0 {
			time.Sleep(1500 * time.Millisecond)
		}
		acknowledged := waitFor(10*time.Second, func() bool {
			status, _, err := f.put("A", f.cores[1], version)
			return err == nil && status == http.StatusOK
		})
		if !acknowledged {
			f.record.say("not acknowledged: %s", configurationLabel(version))
			return exitNotRun
		}
		f.record.say("acknowledged, which takes away a key: %s", configurationLabel(version))
	}
	// revoke-s is 5.
	time.Sleep(5500 * time.Millisecond)
	removed, foreign, answers := 0, 0, map[int]int{}
	for range 10 {
		for _, m := range f.sidecars {
			answer := f.requestWithKey(m, key)
			answers[answer.status]++
			if answer.status == http.StatusOK {
				removed++
			}
			if f.requestWithKey(m, foreignKey).status == http.StatusOK {
				foreign++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.record.say("sent from %.1f s after the last acknowledgement: answers with the removed key %v; run with it: %d of 30, with a key that no configuration held: %d of 30",
		5.5, answers, removed, foreign)
	if removed > 0 {
		f.record.say("CONFIG broken: requests run that were sent later than revoke-s after the acknowledgement of a configuration that removed their key")
	}
	if foreign > 0 {
		f.record.say("ROUTE broken: requests run whose key was never held by any configuration")
	}
	if removed+foreign > 0 {
		return exitBroken
	}
	return exitHeld
}

// requestWithKey sends one request with a key.
func (f *fleet) requestWithKey(m *machine, apiKey string) reply {
	return f.send(m, http.MethodGet, "shop.example", "/x/1", apiKey, 1200*time.Millisecond)
}
