package settings

import (
	"encoding/json"

	"github.com/tidwall/gjson"

	"beaconvane/internal/errcode"
)

// unknownKeys returns a fault for each key that no setting has and for each repeated key.
func unknownKeys(body []byte) Faults {
	root, faults := gjson.ParseBytes(body), Faults{}
	faults.checkKeys("", root, jsonKeys(Default()))
	faults.checkKeys("bounds.", root.Get("bounds"), jsonKeys(Bounds{}))
	faults.checkKeys("limits.", root.Get("limits"), jsonKeys(Limits{}))
	faults.checkKeys("tolerated.", root.Get("tolerated"), jsonKeys(Tolerated{}))
	return faults
}

// jsonKeys returns the JSON keys of a struct value.
func jsonKeys(value any) map[string]bool {
	keys := map[string]bool{}
	text, _ := json.Marshal(value) // marshalling a struct of plain fields does not fail
	gjson.ParseBytes(text).ForEach(func(key, _ gjson.Result) bool {
		keys[key.String()] = true
		return true
	})
	return keys
}

// checkKeys adds a fault for each key of a JSON object that is unknown or repeated. The path completes the
// keys' paths.
func (f *Faults) checkKeys(path string, object gjson.Result, known map[string]bool) {
	seen := map[string]bool{}
	object.ForEach(func(key, _ gjson.Result) bool {
		name := key.String()
		if !known[name] {
			f.add(errcode.ConfigUnknownKey, path+name, "unknown key")
		}
		if seen[name] {
			f.add(errcode.ConfigBadValue, path+name, "key stands twice")
		}
		seen[name] = true
		return true
	})
}
