package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// collectUsage is the HTTP handler of the stub usage collector. It records every report of a usage
// window.
func (f *Fleet) collectUsage(out http.ResponseWriter, in *http.Request) {
	report := struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
		From   string           `json:"from"`
	}{}
	if err := json.NewDecoder(in.Body).Decode(&report); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	length := time.Duration(settings.Default().Bounds.UsageWindow) * time.Millisecond
	end := time.Duration(report.Window+1)*length - time.Duration(f.Base.UnixNano())
	f.lock.Lock()
	defer f.lock.Unlock()
	f.reported = append(f.reported, checker.Reported{
		Window: report.Window,
		From:   report.From,
		Counts: report.Counts,
		At:     f.sinceStart(),
		End:    end,
	})
}

// Record returns the record of the run, from the observations of this process and from the logs of the
// fleet's processes.
func (f *Fleet) Record(requests []checker.CallerRequest) checker.Record {
	record := checker.Record{Requests: requests, Bounds: checker.BriefBounds(f.Deployment.KeyWithdrawalBound)}
	for _, upstream := range f.Upstreams {
		record.Executions = append(record.Executions, upstream.Runs()...)
		record.Requests = append(record.Requests, upstream.Requests()...)
		record.Peaks = append(record.Peaks, checker.Peak{
			Instance:   upstream.Announcement.Instance,
			MaxRunning: upstream.MaxRunning(),
			Slots:      int(upstream.Announcement.Slots),
		})
	}
	for _, process := range f.Processes {
		f.endConnectedSpan(process)
	}
	f.lock.Lock()
	record.Up, record.Disconnected, record.Crashes = f.connected, f.frozen, f.killed
	record.Writes, record.Reported, record.DrainStarts = f.writes, f.reported, f.drainStarts
	f.lock.Unlock()
	for _, process := range f.Processes {
		record.LeaseTenures = append(record.LeaseTenures, f.leaseHolders(process)...)
		if process.Role == message.RoleProxy {
			record.Activations = append(record.Activations, f.configurationsInForce(process)...)
		}
	}
	f.readBack(&record)
	record.End = f.sinceStart()
	record.Window, record.Epoch = time.Duration(settings.Default().Bounds.UsageWindow)*time.Millisecond, time.Duration(f.Base.UnixNano())
	return record
}

// readBack reads from each registry every version that it lists and every usage window that was
// reported.
func (f *Fleet) readBack(record *checker.Record) {
	record.RetainedVersions = int(settings.Default().Limits.RetainedVersions)
	for _, process := range f.Of(message.RoleRegistry) {
		versionList := struct {
			Versions []int64 `json:"versions"`
		}{}
		Get("http://"+process.HTTPAddress+"/v1/configurations/"+configName+"/versions", &versionList)
		for _, version := range versionList.Versions {
			body, status := fetchBody(fmt.Sprintf("http://%s/v1/configurations/%s/%d", process.HTTPAddress, configName, version))
			if status == http.StatusOK {
				record.StoredVersions = append(record.StoredVersions, checker.StoredVersion{
					Voter:      process.Node,
					ConfigName: configName,
					Version:    version,
					Digest:     checker.Digest(body),
				})
			}
		}
		for _, report := range record.Reported {
			stored := struct {
				Counts map[string]int64 `json:"counts"`
			}{}
			if Get(fmt.Sprintf("http://%s/v1/usage/%d", process.HTTPAddress, report.Window), &stored) == http.StatusOK {
				record.StoredUsage = append(record.StoredUsage,
					checker.Reported{Window: report.Window, From: process.Node, Counts: stored.Counts})
			}
		}
	}
}

// Names of the log events from which the record is built.
const (
	eventInForce    = "configuration-in-force"
	eventLeaseTaken = "lease-taken"
)

// logLine holds the decoded fields of one JSON line of a process's log.
type logLine struct {
	EventName string `json:"msg"`
	At        string `json:"ts"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// events returns the events of one name from a process's log file, which is readable also after the
// process was killed.
func (f *Fleet) events(process *Process, eventName string) []logLine {
	body, err := os.ReadFile(process.logPath)
	if err != nil {
		return nil
	}
	list := []logLine{}
	for _, line := range bytes.Split(body, []byte("\n")) {
		parsed := logLine{}
		if json.Unmarshal(line, &parsed) == nil && parsed.EventName == eventName {
			list = append(list, parsed)
		}
	}
	return list
}

// timeOf returns the time of a log line since the start of the run, or 0 if it can't be parsed.
func (f *Fleet) timeOf(line logLine) time.Duration {
	at, err := time.Parse(time.RFC3339Nano, line.At)
	if err != nil {
		return 0
	}
	return at.Sub(f.Base)
}

// configurationsInForce returns when each version came into force on a proxy, according to its log.
func (f *Fleet) configurationsInForce(process *Process) []checker.Activation {
	list := []checker.Activation{}
	for _, line := range f.events(process, eventInForce) {
		list = append(list, checker.Activation{Node: process.Node, ConfigName: line.Cause, Version: line.Epoch, At: f.timeOf(line)})
	}
	return list
}

// leaseHolders returns when a process became the holder of each lease, according to its log.
func (f *Fleet) leaseHolders(process *Process) []checker.LeaseTenure {
	list := []checker.LeaseTenure{}
	for _, line := range f.events(process, eventLeaseTaken) {
		leaseName, _, _ := strings.Cut(line.Cause, " ")
		list = append(list, checker.LeaseTenure{LeaseName: leaseName, Voter: process.Node, Epoch: line.Epoch, At: f.timeOf(line)})
	}
	return list
}
