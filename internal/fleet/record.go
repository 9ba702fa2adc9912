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

func (f *Fleet) collect(out http.ResponseWriter, in *http.Request) {
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
		At:     f.since(),
		End:    end,
	})
}

// Record gathers all that the run left behind, from what this process saw and from the logs of the
// others.
func (f *Fleet) Record(asked []checker.CallerRequest) checker.Record {
	record := checker.Record{Requests: asked, Bounds: checker.BriefBounds(f.Deployment.KeyWithdrawalBound)}
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
		f.endConnected(process)
	}
	f.lock.Lock()
	record.Up, record.Disconnected, record.Crashes = f.connected, f.frozen, f.killed
	record.Writes, record.Reported, record.DrainStarts = f.writes, f.reported, f.leaving
	f.lock.Unlock()
	for _, process := range f.Processes {
		record.LeaseTenures = append(record.LeaseTenures, f.leaseHolders(process)...)
		if process.Role == message.RoleProxy {
			record.Activations = append(record.Activations, f.configurationsInForce(process)...)
		}
	}
	f.readBack(&record)
	record.End = f.since()
	record.Window, record.Epoch = time.Duration(settings.Default().Bounds.UsageWindow)*time.Millisecond, time.Duration(f.Base.UnixNano())
	return record
}

// readBack reads from each registry every version that is kept and every window that was reported.
func (f *Fleet) readBack(record *checker.Record) {
	record.RetainedVersions = int(settings.Default().Limits.RetainedVersions)
	for _, process := range f.Of(message.RoleRegistry) {
		listed := struct {
			Versions []int64 `json:"versions"`
		}{}
		Get("http://"+process.HTTPAddress+"/v1/configurations/"+configName+"/versions", &listed)
		for _, version := range listed.Versions {
			body, status := fetch(fmt.Sprintf("http://%s/v1/configurations/%s/%d", process.HTTPAddress, configName, version))
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
			reread := struct {
				Counts map[string]int64 `json:"counts"`
			}{}
			if Get(fmt.Sprintf("http://%s/v1/usage/%d", process.HTTPAddress, report.Window), &reread) == http.StatusOK {
				record.StoredUsage = append(record.StoredUsage,
					checker.Reported{Window: report.Window, From: process.Node, Counts: reread.Counts})
			}
		}
	}
}

// Events of the processes' logs that the record is made of.
const (
	eventInForce    = "configuration-in-force"
	eventLeaseTaken = "lease-taken"
)

// logLine is one line of a process's log.
type logLine struct {
	EventName string `json:"msg"`
	At        string `json:"ts"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// events returns the events of one name in a process's log, whose JSON lines outlive the process.
func (f *Fleet) events(process *Process, wanted string) []logLine {
	body, err := os.ReadFile(process.log)
	if err != nil {
		return nil
	}
	list := []logLine{}
	for _, line := range bytes.Split(body, []byte("\n")) {
		read := logLine{}
		if json.Unmarshal(line, &read) == nil && read.EventName == wanted {
			list = append(list, read)
		}
	}
	return list
}

// timeOf returns the time of a line since the start of the run.
func (f *Fleet) timeOf(line logLine) time.Duration {
	at, err := time.Parse(time.RFC3339Nano, line.At)
	if err != nil {
		return 0
	}
	return at.Sub(f.Base)
}

// configurationsInForce returns when each version came into force on a proxy, by its log.
func (f *Fleet) configurationsInForce(process *Process) []checker.Activation {
	list := []checker.Activation{}
	for _, line := range f.events(process, eventInForce) {
		list = append(list, checker.Activation{Node: process.Node, ConfigName: line.Cause, Version: line.Epoch, At: f.timeOf(line)})
	}
	return list
}

// leaseHolders returns when a process became the holder of each lease, by its log.
func (f *Fleet) leaseHolders(process *Process) []checker.LeaseTenure {
	list := []checker.LeaseTenure{}
	for _, line := range f.events(process, eventLeaseTaken) {
		tag, _, _ := strings.Cut(line.Cause, " ")
		list = append(list, checker.LeaseTenure{LeaseName: tag, Voter: process.Node, Epoch: line.Epoch, At: f.timeOf(line)})
	}
	return list
}
