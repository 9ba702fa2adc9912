// Golden tests of the settings: every key of the file, the defaults, and the names in the protocols.
package golden_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/frontend"
	"beaconvane/internal/golden"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// appendSettingsKeys appends the JSON keys of a struct type to text, in field order, each with the Go
// type of its field. Keys of nested structs are prefixed with the path of their parent.
func appendSettingsKeys(structType reflect.Type, path string, text *strings.Builder) {
	for index := range structType.NumField() {
		field := structType.Field(index)
		key := field.Tag.Get("json")
		if key == "-" {
			continue
		}
		if key == "" {
			key = "NO KEY: " + field.Name
		}
		if field.Type.Kind() == reflect.Struct {
			appendSettingsKeys(field.Type, path+key+".", text)
			continue
		}
		fmt.Fprintf(text, "%s%s %s\n", path, key, field.Type)
	}
}

// TestSettingsKeys records every key of the settings file with its type.
func TestSettingsKeys(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	appendSettingsKeys(reflect.TypeOf(settings.Settings{}), "", &text)
	golden.Check(c, "settings-keys.txt", text.String())
}

// TestSettingsDefaults records the settings that result from the minimal file of each role.
func TestSettingsDefaults(t *testing.T) {
	c := qt.New(t)
	const minimal = `{"node":"one","zone":"north","zones":["north"],"address":"10.0.0.1:1","outside":"10.0.0.1:2",` +
		`"seeds":["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1"]`
	for name, testCase := range map[string]struct{ role, file string }{
		"proxy":       {message.RoleProxy, minimal + `}`},
		"registry":    {message.RoleRegistry, minimal + `,"data":"/data","voter_count":3,"collector":"http://10.0.0.9/usage"}`},
		"configstore": {message.RoleConfigStore, minimal + `,"data":"/data","voter":"a","voters":["a","b","c"]}`},
	} {
		cfg, faults := settings.Read(testCase.role, []byte(testCase.file), nil)
		c.Assert(faults, qt.HasLen, 0, qt.Commentf(name))
		text, err := json.MarshalIndent(cfg, "", " ")
		c.Assert(err, qt.IsNil)
		golden.Check(c, "settings-"+name+".json", string(text)+"\n")
	}
}

// TestSettingsFaults records the fault texts for a file in which nearly every value is invalid, and
// the settings that result when flags override an empty file.
func TestSettingsFaults(t *testing.T) {
	c := qt.New(t)
	const invalid = `{"node":"","zone":"x","zones":["y","y"],"address":"host:1","outside":"1","metrics":"2",` +
		`"seeds":["a"],"data":"","configurations":[],"puts":"p",
		"slices":["z"],"collector":"ftp://","active":{"other":"v"},"proof":"p","fields":"f","counted":"c",` +
		`"beacon":["b"],"colour":1,"voter_count":2,
		"bounds":{"drain_ms":-1,"lease_ms":-1,"retry_share":2,"sync_ms":9000,"other":1},"limits":{"queue":0,` +
		`"linger_ms":-1,"frame_bytes":1}}`
	text := strings.Builder{}
	for _, role := range []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore} {
		_, faults := settings.Read(role, []byte(invalid), nil)
		text.WriteString("=== " + role + "\n" + strings.Join(faults, "\n") + "\n")
	}
	golden.Check(c, "settings-faults.txt", text.String())

	flags := map[string]string{"node": "n", "voter": "v", "zone": "z", "address": "1.1.1.1:1", "outside": "1.1.1.1:2",
		"data": "d", "collector": "http://c/",
		"metrics": "1.1.1.1:3", "found": "true", "seeds": "1.1.1.1:4,1.1.1.1:5"}
	cfg, _ := settings.Read(message.RoleRegistry, []byte(`{}`), flags)
	body, err := json.MarshalIndent(cfg, "", " ")
	c.Assert(err, qt.IsNil)
	golden.Check(c, "settings-flags.json", string(body)+"\n")
}

// TestProtocolNames records the names of header fields and parameters in the native protocols.
func TestProtocolNames(t *testing.T) {
	c := qt.New(t)
	golden.Check(c, "protocol-names.txt", strings.Join([]string{
		"code " + frontend.CodeHeader, "key " + frontend.APIKeyHeader, "key parameter " + frontend.KeyParam,
		"tenant " + backend.TenantHeader,
		"caller " + backend.CallerHeader, "pass " + backend.DelegationHeader, "request " + backend.RequestHeader,
	}, "\n")+"\n")
}
