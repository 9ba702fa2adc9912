package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/fleet"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

const (
	startTimeout      = 30 * time.Second
	writers           = 8
	readers           = 2
	recoveryPause     = 3 * time.Second // for requests after the recovery bound
	revocationPause   = 3 * time.Second // for requests after the bound of the revocation
	stopGroupTimeout  = 10 * time.Second
	maxRevokeAttempts = 5
)

// ErrBroken is returned if a rule was broken.
var ErrBroken = errors.New("a rule was broken")

// Run plays the runs of the options one after the other. Progress goes to progress, violations to out. It
// returns ErrBroken if a rule was broken, an OptionError for an invalid option, and another error if a run
// could not be played.
func Run(ctx context.Context, options Options, out, progress io.Writer) error {
	if err := options.Check(); err != nil {
		return err
	}
	record, closeRecord, err := openRecord(options.Record)
	if err != nil {
		return err
	}
	defer closeRecord()
	broken := 0
	for number := range options.Count {
		seed := options.Seed + uint64(number)
		violations, summary, err := play(ctx, options, seed, record)
		if err != nil {
			return errcode.Wrap("soak.play", errcode.Internal, fmt.Errorf("seed %d: %w", seed, err))
		}
		for _, violation := range violations {
			fmt.Fprintf(out, "seed %d: %s\n", seed, violation)
		}
		if len(violations) > 0 {
			broken++
		}
		fmt.Fprintf(progress, "seed %d: %d violations; %s\n", seed, len(violations), summary)
	}
	fmt.Fprintf(progress, "%d of %d runs broke a rule\n", broken, options.Count)
	if broken > 0 {
		return ErrBroken
	}
	return nil
}

// openRecord opens the file of the record, or returns nil if there is none.
func openRecord(path string) (record io.Writer, closeRecord func(), err error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, &OptionError{"record", err.Error()}
	}
	return file, func() { file.Close() }, nil
}

// runner plays one run.
type runner struct {
	options   Options
	seen      *observations
	fleet     *fleet.Fleet
	group     *goroutine.Group
	operators *operators
	troubles  *troubles
	random    *rand.Rand
}

// play plays a run and returns its violations. It ends every process that it started.
func play(ctx context.Context, options Options, seed uint64, record io.Writer) ([]Violation, string, error) {
	folder, err := os.MkdirTemp("", "beaconvane-soak")
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	deployment, err := options.deployment()
	if err != nil {
		return nil, "", err
	}
	processes, err := fleet.NewAdjusted(deployment, options.Programs, folder, adjustSettings(seed))
	if err != nil {
		return nil, "", err
	}
	r := &runner{
		options: options,
		seen:    &observations{startedAt: time.Now(), output: record},
		fleet:   processes,
		group:   goroutine.New(),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	defer processes.StopAll()
	defer r.group.Stop(stopGroupTimeout)
	if err := r.prepare(); err != nil {
		return nil, "", err
	}
	if err := r.phases(ctx); err != nil {
		return nil, "", err
	}
	r.group.Stop(stopGroupTimeout)
	return r.seen.judge(options.stretch), r.seen.summary(), nil
}

// Settings of the fleets, in bytes and milliseconds.
const (
	maxBody         = 24 << 20
	maxResponse     = 16 << 20
	maxFrame        = 40 << 20
	heartbeatMillis = 6000
)

// adjustSettings returns how a run changes the settings of its processes. Runs with an odd seed rely on upstreams that
// refuse requests for another target.
func adjustSettings(seed uint64) func(role string, cfg *settings.Settings) {
	return func(role string, cfg *settings.Settings) {
		cfg.Limits.Body, cfg.Limits.Response, cfg.Limits.Frame = maxBody, maxResponse, maxFrame
		cfg.Limits.Memory = memoryLimit(role)
		if seed%2 == 1 {
			cfg.TargetProof = settings.ProofTarget
			cfg.Bounds.Heartbeat = heartbeatMillis
		}
	}
}

// summary returns the counts of what was observed.
func (o *observations) summary() string {
	o.lock.Lock()
	defer o.lock.Unlock()
	served, acknowledged, signals := 0, 0, 0
	for _, sent := range o.requests {
		if sent.status == http.StatusOK {
			served++
		}
	}
	for _, sent := range o.writes {
		if sent.acknowledged() {
			acknowledged++
		}
	}
	for _, line := range o.lines {
		if strings.HasPrefix(line.text, "SIG") {
			signals++
		}
	}
	tried := []string{}
	for _, name := range slices.Sorted(maps.Keys(o.counts)) {
		tried = append(tried, fmt.Sprintf("%d %s", o.counts[name], name))
	}
	for _, role := range slices.Sorted(maps.Keys(o.memory)) {
		tried = append(tried, fmt.Sprintf("%s %d MiB", role, o.memory[role]))
	}
	return fmt.Sprintf("%d of %d requests served, %d of %d writes acknowledged, %d reads, %d sign-offs, %d leavings, %d signals, "+
		"%s in %.0f s", served, len(o.requests), acknowledged, len(o.writes), len(o.reads), len(o.signOffs), len(o.leavings), signals,
		strings.Join(tried, ", "), o.now().Seconds())
}

// prepare starts the processes and the upstreams.
func (r *runner) prepare() error {
	r.operators = &operators{seen: r.seen}
	r.troubles = &troubles{seen: r.seen, fleet: r.fleet}
	for _, process := range r.fleet.Processes {
		if err := r.fleet.Start(process); err != nil {
			return err
		}
		r.troubles.machines = append(r.troubles.machines, &machine{Process: process})
		if process.Role == message.RoleRegistry {
			r.operators.registries = append(r.operators.registries, process.HTTPAddress)
		}
	}
	for index := range r.fleet.Of(message.RoleProxy) {
		service := allServices[index%len(allServices)]
		beside := &upstream{
			seen: r.seen, service: service, name: service + "-" + strconv.Itoa(index), address: fmt.Sprintf("127.77.4.%d:0", index+1),
			zone: r.fleet.Deployment.Zones[index%len(r.fleet.Deployment.Zones)], proxies: r.proxiesFrom(index),
		}
		if err := beside.start(r.group); err != nil {
			return err
		}
		r.troubles.upstreams = append(r.troubles.upstreams, beside)
	}
	return nil
}

// proxiesFrom returns the addresses of all proxies, from the one at an index on.
func (r *runner) proxiesFrom(index int) []string {
	proxies := r.fleet.Of(message.RoleProxy)
	addresses := []string{}
	for offset := range proxies {
		addresses = append(addresses, proxies[(index+offset)%len(proxies)].HTTPAddress)
	}
	return addresses
}

// newRandom returns a random source of its own for one part of the run.
func (r *runner) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
}

// phases plays the start, the troubles, the calm time after them, and the revocation of all keys.
func (r *runner) phases(ctx context.Context) error {
	if err := r.waitForService(ctx); err != nil {
		return err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	r.startCallers(callersCtx)
	largeCtx, stopLarge := context.WithCancel(ctx)
	defer stopLarge()
	large := r.newRandom()
	r.group.Go("soak.large", func(context.Context) { sendLarge(largeCtx, r.seen, r.proxiesFrom(0), large) })
	operatorsCtx, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	operatorsDone := r.startOperators(operatorsCtx)
	memoryCtx, stopMemory := context.WithCancel(ctx)
	defer stopMemory()
	r.group.Go("soak.memory", func(context.Context) { r.troubles.watchMemory(memoryCtx) })
	r.playTroubles(ctx)
	r.restoreStopped()
	stopLarge()
	sleep(ctx, contactTime)
	r.troubles.playLeavings(ctx, r.newRandom())
	r.restoreAll()
	sleep(ctx, r.options.stretch(recoveryBound)/2)
	stopOperators()
	<-operatorsDone
	sleep(ctx, r.options.stretch(recoveryBound)/2+recoveryPause)
	if err := r.revokeKeys(ctx); err != nil {
		return err
	}
	sleep(ctx, r.options.stretch(revocationBound)+revocationPause)
	return ctx.Err()
}

// errNoStart is returned if the fleet does not serve in time.
var errNoStart = errors.New("the fleet does not serve in time after its start")

// waitForService writes the first version and waits until every proxy serves.
func (r *runner) waitForService(ctx context.Context) error {
	client := newClient(operatorTimeout)
	startCtx, cancel := context.WithTimeout(ctx, r.options.stretch(startTimeout))
	defer cancel()
	for !r.operators.put(startCtx, client, r.random, newConfiguration(r.operators.nextVersion(r.random)), true) {
		if startCtx.Err() != nil {
			return errors.Join(errNoStart, ctx.Err())
		}
	}
	for number, proxy := range r.proxiesFrom(0) {
		for attempt := 0; !r.serves(client, proxy, fmt.Sprintf("start-%d-%d", number, attempt)); attempt++ {
			if startCtx.Err() != nil {
				return errors.Join(errNoStart, ctx.Err())
			}
			sleep(startCtx, operatorRetry*5)
		}
	}
	return nil
}

// serves reports whether a proxy serves a request.
func (r *runner) serves(client *http.Client, proxy, id string) bool {
	out, err := http.NewRequest(http.MethodGet, "http://"+proxy+mainPath, http.NoBody)
	if err != nil {
		return false
	}
	out.Host = shopHost
	out.Header.Set("X-Api-Key", tenantKey)
	out.Header.Set(requestIDHeader, id)
	response, err := client.Do(out)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startCallers starts the callers of every proxy.
func (r *runner) startCallers(ctx context.Context) {
	for index, proxy := range r.proxiesFrom(0) {
		for number := range callersPerProxy {
			sender := &caller{
				seen: r.seen, proxy: proxy, name: fmt.Sprintf("c%d.%d", index, number), random: r.newRandom(),
				client: newClient(patience), acknowledged: &r.operators.acknowledged,
			}
			r.group.Go("soak.caller", func(context.Context) { sender.run(ctx) })
		}
		leaver := &quitter{seen: r.seen, proxy: proxy, name: fmt.Sprintf("q%d", index), random: r.newRandom()}
		r.group.Go("soak.quitter", func(context.Context) { leaver.run(ctx) })
	}
}

// startOperators starts the operators, and returns a channel that is closed once all have stopped.
func (r *runner) startOperators(ctx context.Context) <-chan struct{} {
	stopped := make(chan struct{}, writers+readers)
	start := func(operate func(ctx context.Context, random *rand.Rand)) {
		random := r.newRandom()
		r.group.Go("soak.operator", func(context.Context) {
			operate(ctx, random)
			stopped <- struct{}{}
		})
	}
	for range writers {
		start(r.operators.write)
	}
	for range readers {
		start(r.operators.read)
	}
	done := make(chan struct{})
	r.group.Go("soak.operators", func(context.Context) {
		for range writers + readers {
			<-stopped
		}
		close(done)
	})
	return done
}

// playTroubles plays the series of troubles for the length of the run, and waits until they have ended.
func (r *runner) playTroubles(ctx context.Context) {
	troublesCtx, cancel := context.WithTimeout(ctx, r.options.Length)
	defer cancel()
	series := r.troubles.series()
	done := make(chan struct{}, len(series))
	for _, kinds := range series {
		random := r.newRandom()
		r.group.Go("soak.troubles", func(context.Context) {
			r.troubles.run(troublesCtx, random, kinds)
			done <- struct{}{}
		})
	}
	for range series {
		<-done
	}
}

// restoreStopped starts every process that has exited.
func (r *runner) restoreStopped() {
	for _, target := range r.troubles.machines {
		target.lock.Lock()
		if target.WaitExited(0) {
			r.troubles.start(target)
		}
		target.lock.Unlock()
	}
}

// restoreAll starts every process that has exited. From then on the time is calm.
func (r *runner) restoreAll() {
	r.restoreStopped()
	r.seen.record("calm from now on")
	r.seen.calmFrom = r.seen.now()
}

// errNoRevocation is returned if the version without keys was not acknowledged.
var errNoRevocation = errors.New("the version without keys was not acknowledged")

// revokeKeys writes a version without keys.
func (r *runner) revokeKeys(ctx context.Context) error {
	client := newClient(operatorTimeout)
	for range maxRevokeAttempts {
		order := newConfiguration(r.operators.nextVersion(r.random)).withoutKeys()
		if r.operators.put(ctx, client, r.random, order, true) {
			r.seen.revokedAt = r.seen.now()
			return nil
		}
	}
	return errors.Join(errNoRevocation, ctx.Err())
}
