package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
)

// configName is the name of the configuration that the fleet runs with.
const configName = "main"

// errNoRegistry is returned when no registry answered a write.
var errNoRegistry = errors.New("no registry answered the write")

// requestTimeout is the load generator's timeout for one request.
const requestTimeout = 8 * time.Second

// httpClient sends the fleet's own requests: writes of configurations and queries of the processes.
var httpClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 4}}

// fetchBody gets a URL and returns the body and the status of the answer. Status 0 means that no
// complete answer was received.
func fetchBody(url string) ([]byte, int) {
	response, err := httpClient.Get(url)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0
	}
	return body, response.StatusCode
}

// Get gets a URL of a process and decodes the JSON body into target, unless target is nil. It returns
// the status, or 0 if no complete answer was received or its body is not valid JSON for target.
func Get(url string, target any) int {
	body, status := fetchBody(url)
	if status == 0 || target != nil && json.Unmarshal(body, target) != nil {
		return 0
	}
	return status
}

// Ready reports whether every proxy is ready.
func (f *Fleet) Ready() bool {
	for _, process := range f.Of(message.RoleProxy) {
		if Get("http://"+process.HTTPAddress+"/beacon/ready", nil) != http.StatusOK {
			return false
		}
	}
	return true
}

// Write writes a version of the configuration through the first registry that answers, and records
// the acknowledgement. It returns the HTTP status, or 0 if no registry answered. fillerRoutes is the
// number of additional routes that enlarge the configuration.
func (f *Fleet) Write(version int64, tenants []loadgen.Tenant, fillerRoutes int) (int, error) {
	body := f.Deployment.Configuration(tenants, fillerRoutes)
	for _, process := range f.Of(message.RoleRegistry) {
		url := fmt.Sprintf("http://%s/v1/configurations/%s/%d", process.HTTPAddress, configName, version)
		request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			return 0, errcode.Wrap("fleet.write", errcode.Internal, err)
		}
		response, err := httpClient.Do(request)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(io.LimitReader(response.Body, 300))
		response.Body.Close()
		f.countWriteAnswer(response)
		if response.StatusCode != http.StatusOK {
			return response.StatusCode, errcode.Wrap("fleet.write", errcode.ConfigurationBad, fmt.Errorf("%s", answer))
		}
		f.recordWrite(version, tenants, body)
		return response.StatusCode, nil
	}
	return 0, errcode.Wrap("fleet.write", errcode.ConnectionLost, errNoRegistry)
}

// countWriteAnswer counts the answer to a write by its status and error code.
func (f *Fleet) countWriteAnswer(response *http.Response) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.writeAnswers[fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(frontend.CodeHeader))]++
}

// recordWrite records an acknowledged version with the routes and keys that it allows.
func (f *Fleet) recordWrite(version int64, tenants []loadgen.Tenant, body []byte) {
	write := checker.Write{
		ConfigName: configName,
		Version:    version,
		At:         f.sinceStart(),
		Services:   map[string]string{},
		Keys:       map[string]string{},
		Digest:     checker.Digest(body),
	}
	for _, kind := range f.Deployment.Kinds {
		write.Services[kind.Route] = kind.Service
	}
	for _, tenant := range tenants {
		write.Keys[tenant.Key] = tenant.Name
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.writes = append(f.writes, write)
}

// registryStatus holds the fields of a registry's status that show which leases it holds.
type registryStatus struct {
	Leases map[string]struct {
		Here bool `json:"here"`
	} `json:"leases"`
}

// Holder returns the registry that reports in its status that it holds a lease, or nil if none does.
func (f *Fleet) Holder(leaseName string) *Process {
	for _, process := range f.Of(message.RoleRegistry) {
		status := registryStatus{}
		if Get("http://"+process.HTTPAddress+"/v1/status", &status) == http.StatusOK && status.Leases[leaseName].Here {
			return process
		}
	}
	return nil
}

// Load runs the load generator against all proxies and returns the record of its requests.
func (f *Fleet) Load(rate float64, length time.Duration, seed uint64) []checker.CallerRequest {
	return f.runLoad(f.proxyAddresses(), f.Deployment.Kinds, rate, length, seed)
}

// proxyAddresses returns the HTTP addresses of the proxies.
func (f *Fleet) proxyAddresses() []string {
	addresses := []string{}
	for _, process := range f.Of(message.RoleProxy) {
		addresses = append(addresses, process.HTTPAddress)
	}
	return addresses
}

// runLoad runs the load generator with requests of the given kinds against the given addresses, on
// behalf of all tenants.
func (f *Fleet) runLoad(
	addresses []string, kinds []loadgen.Kind, rate float64, length time.Duration, seed uint64,
) []checker.CallerRequest {
	return loadgen.Run(f.Group.Context, f.Group, loadgen.Plan{
		Proxies: addresses,
		Kinds:   kinds,
		Tenants: f.Deployment.Tenants(),
		Rate:    rate,
		Length:  length,
		Limit:   requestTimeout,
		Seed:    seed,
		Base:    f.Base,
	})
}
