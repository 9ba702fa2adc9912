package routeconfig

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// The known fields at each level of a configuration. Fields of routes are in routeFieldNames.
var (
	configurationFields = []string{"version", "services", "tenants", "routes", "limits", "note"}
	tenantFields        = []string{"name", "keys", "priority"}
	serviceFields       = []string{"name", "health", "connections", "protocol", "tls"}
	callerLimitFields   = []string{"head_bytes", "body_bytes", "head_ms", "idle_ms"}
)

// rootPath is the path of a fault that concerns the whole configuration.
const rootPath = "$"

// Limits of what a check collects.
const (
	maxFaults = 200  // that are listed
	maxFields = 1000 // of one object
)

// fault is one error in a configuration.
type fault struct {
	path    string // of the field, such as routes.0.service
	problem string
}

// String returns the fault in the form that operators see.
func (f fault) String() string { return f.path + ": " + f.problem }

// Check returns the faults of a configuration in alphabetical order. tooLarge reports whether the
// configuration is refused for its size.
func Check(body []byte, limits Limits) (faults []string, tooLarge bool) {
	if size := int64(len(body)); size > limits.MaxBytes {
		problem := fmt.Sprintf("%d bytes, the limit is %d", size, limits.MaxBytes)
		return []string{fault{rootPath, problem}.String()}, true
	}
	if problem := measureStructure(body, limits).problem(limits); problem != "" {
		return []string{fault{rootPath, problem}.String()}, true
	}
	if !gjson.ValidBytes(body) {
		return []string{fault{rootPath, "not JSON"}.String()}, false
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return []string{fault{rootPath, problemNotObject}.String()}, false
	}
	if entries := countEntries(root); entries > limits.MaxEntries {
		problem := fmt.Sprintf("%d entries, the limit is %d", entries, limits.MaxEntries)
		return []string{fault{rootPath, problem}.String()}, true
	}
	check := newChecker(limits)
	check.checkConfiguration(root)
	return check.faultLines(), false
}

// countEntries returns the number of services, tenants, keys and routes.
func countEntries(root gjson.Result) int64 {
	tenants := root.Get("tenants")
	count := countItems(root.Get("services")) + countItems(tenants) + countItems(root.Get("routes"))
	forEachItem(tenants, func(_ int, tenant gjson.Result) bool {
		count += countItems(tenant.Get("keys"))
		return true
	})
	return count
}

// countItems returns the number of items of a list; 0 for any other value.
func countItems(list gjson.Result) int64 {
	count := int64(0)
	forEachItem(list, func(int, gjson.Result) bool {
		count++
		return true
	})
	return count
}

// forEachItem calls visit for each item of a list, until it returns false. It does not hold all items in memory.
func forEachItem(list gjson.Result, visit func(index int, item gjson.Result) bool) {
	if !list.IsArray() {
		return
	}
	index := 0
	list.ForEach(func(_, item gjson.Result) bool {
		index++
		return visit(index-1, item)
	})
}

// checker collects the faults of a configuration, and the names, keys and matches that it has already
// checked, to find duplicates and unknown references.
type checker struct {
	faults          []fault
	lenient         bool  // Limits.Lenient
	maxTimeoutMilli int64 // Limits.MaxTimeout in milliseconds

	services      map[string]bool
	tenants       map[string]bool
	routeNames    map[string]bool
	keyOwners     map[string]keyOwner // by key
	routesByMatch map[string]string   // paths of routes, by host and prefix, or by match, method and path
}

// keyOwner is the tenant that has a key, and the path of the key in the configuration.
type keyOwner struct{ tenant, path string }

// newChecker returns a checker that has checked nothing.
func newChecker(limits Limits) *checker {
	return &checker{
		lenient:         limits.Lenient,
		maxTimeoutMilli: int64(limits.MaxTimeout / time.Millisecond),
		services:        map[string]bool{},
		tenants:         map[string]bool{},
		routeNames:      map[string]bool{},
		keyOwners:       map[string]keyOwner{},
		routesByMatch:   map[string]string{},
	}
}

// faultLines returns the faults as operators see them, sorted; nil if there are none.
func (c *checker) faultLines() []string {
	var lines []string
	for _, item := range c.faults {
		lines = append(lines, item.String())
	}
	sort.Strings(lines)
	return lines
}

// add adds a fault. The faults beyond maxFaults are counted as one.
func (c *checker) add(path, problem string) {
	switch {
	case len(c.faults) < maxFaults:
		c.faults = append(c.faults, fault{path, problem})
	case len(c.faults) == maxFaults:
		c.faults = append(c.faults, fault{rootPath, problemMoreFaults})
	}
}

// isFull reports whether no further fault would be listed.
func (c *checker) isFull() bool { return len(c.faults) > maxFaults }

// checkConfiguration checks a configuration. Services and tenants come before routes, which refer to them.
func (c *checker) checkConfiguration(root gjson.Result) {
	c.checkFields("", root, configurationFields)
	c.checkPositiveInteger("version", root.Get("version"), noMaximum)
	if callerLimits := root.Get("limits"); callerLimits.Exists() {
		c.checkFields("limits", callerLimits, callerLimitFields)
	}
	c.checkServices(root.Get("services"))
	c.checkList("tenants", root.Get("tenants"), c.checkTenant)
	c.checkList("routes", root.Get("routes"), c.checkRoute)
}

// checkServices checks services, each of which is a name or an object with further fields.
func (c *checker) checkServices(value gjson.Result) {
	c.checkList("services", value, func(path string, item gjson.Result) {
		name := item
		if item.IsObject() {
			c.checkFields(path, item, serviceFields)
			name = item.Get("name")
			c.checkCount(path+".connections", item.Get("connections"))
			path += ".name"
		}
		c.checkUnique(c.services, path, c.checkString(path, name), "stands twice")
	})
	if len(c.services) == 0 && !c.lenient {
		c.add("services", "want at least one name")
	}
}

// checkTenant checks a tenant and its keys.
func (c *checker) checkTenant(path string, tenant gjson.Result) {
	c.checkFields(path, tenant, tenantFields)
	name := c.checkString(path+".name", tenant.Get("name"))
	c.checkUnique(c.tenants, path+".name", name, "tenant stands twice")
	c.checkNonNegativeInteger(path+".priority", tenant.Get("priority"))
	c.checkList(path+".keys", tenant.Get("keys"), func(keyPath string, key gjson.Result) {
		c.checkKey(keyPath, key, name)
	})
}

// checkKey checks that a key belongs to one tenant only. A lenient configuration may repeat a key within
// a tenant.
func (c *checker) checkKey(path string, value gjson.Result, tenant string) {
	key := c.checkString(path, value)
	owner, repeated := c.keyOwners[key]
	sameTenant := c.lenient && owner.tenant == tenant
	if repeated && key != "" && !sameTenant {
		c.add(path, "key stands already at "+owner.path)
	}
	if strings.ContainsAny(key, " \t\r\n") && !c.lenient {
		c.add(path, "a key holds no white space")
	}
	c.keyOwners[key] = keyOwner{tenant, path}
}

// checkFields checks that a value is an object without repeated fields and, unless the configuration is
// lenient, without unknown ones. The path is "" for the whole configuration.
func (c *checker) checkFields(path string, value gjson.Result, known []string) {
	if !value.IsObject() {
		c.add(path, problemNotObject)
		return
	}
	prefix := path
	if path != "" {
		prefix += "."
	}
	seen := map[string]bool{}
	value.ForEach(func(key, _ gjson.Result) bool {
		name := key.String()
		switch {
		case seen[name]:
			c.add(prefix+name, "key stands twice")
		case !slices.Contains(known, name) && !c.lenient:
			c.add(prefix+name, "unknown field")
		}
		seen[name] = true
		if len(seen) > maxFields {
			c.add(path, fmt.Sprintf("more than %d fields", maxFields))
		}
		return len(seen) <= maxFields
	})
}
