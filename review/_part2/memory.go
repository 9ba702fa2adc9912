package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryWatch is the platform's watch over the memory of the processes of a role.
type memoryWatch struct {
	done  chan struct{}
	ended chan map[string]int
}

// watchMemory ends processes of a role that hold more than their memory-mb, and starts them again half a second
// later, as DEPLOY.md says: "A process that exceeds `memory-mb` is killed", "When a process ends or is killed, it is
// restarted after a short delay".
func watchMemory(f *fleet, machines []*machine, role string, limit int) *memoryWatch {
	w := &memoryWatch{done: make(chan struct{}), ended: make(chan map[string]int)}
	go func() {
		ends, peaks := map[string]int{}, map[string]int{}
		restartAt := map[*machine]time.Time{}
		for {
			select {
			case <-w.done:
				for name, peak := range peaks {
					f.record.line("%s: highest memory seen %d MB", name, peak)
				}
				w.ended <- ends
				return
			case <-time.After(5 * time.Millisecond):
			}
			for _, m := range machines {
				if at, down := restartAt[m]; down {
					if time.Now().After(at) {
						delete(restartAt, m)
						_ = f.start(m, role, false)
						f.record.line("the platform starts the %s of %s again", role, m.name)
					}
					continue
				}
				held := residentMB(m.processes[role].command.Process.Pid)
				peaks[m.name] = max(peaks[m.name], held)
				if held > limit {
					ends[m.name]++
					f.record.line("the %s of %s holds %d MB of %d: the platform ends it", role, m.name, held, limit)
					f.signal(m, role, syscall.SIGKILL)
					<-m.processes[role].ended
					restartAt[m] = time.Now().Add(500 * time.Millisecond)
				}
			}
		}
	}()
	return w
}

func (w *memoryWatch) stop() map[string]int {
	close(w.done)
	return <-w.ended
}

// residentMB returns the resident memory of a process, without the pages of its program file.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes / 1024
		}
	}
	return 0
}
