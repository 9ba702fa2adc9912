// This file is the face of the core programs: callboard's HTTP for operators and
// platforms, and the modules of callboard and promptbook.
package marquee

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/tidwall/gjson"
	"go.uber.org/fx"

	"beaconvane/internal/blocking"
	"beaconvane/internal/callboard"
	"beaconvane/internal/crew"
	"beaconvane/internal/cue"
	"beaconvane/internal/house"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/promptbook"
	"beaconvane/internal/script"
)

// CallboardModule is the registry; PromptbookModule the layout store.
var (
	CallboardModule  = fx.Module("callboard", fx.Invoke(startCallboard))
	PromptbookModule = fx.Module("promptbook", fx.Invoke(startPromptbook))
)

func startCallboard(life fx.Lifecycle, config playbill.Config, members *crew.Crew, tower *house.House) {
	face := NewFace()
	c := &callboardFace{config: config, tower: tower}
	c.route(face.Router)
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, view, records, err := tower.OpenDisk()
			if err != nil {
				return err
			}
			machine, err := callboard.New(config, house.Self(config, script.RoleCallboard), view, records)
			if err != nil {
				return err
			}
			if err := tower.Run(machine, nil); err != nil {
				return err
			}
			return face.Serve(members, config.Outside)
		},
		OnStop: func(ctx context.Context) error { return stopCore(ctx, config, members, tower, callboard.Stop{}, face) },
	})
}

func startPromptbook(life fx.Lifecycle, config playbill.Config, members *crew.Crew, tower *house.House) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, view, records, err := tower.OpenDisk()
			if err != nil {
				return err
			}
			var machine cue.Machine
			machine, err = promptbook.New(config, house.Self(config, script.RolePromptbook), view, records)
			if err != nil {
				return err
			}
			return tower.Run(machine, nil)
		},
		OnStop: func(ctx context.Context) error {
			return stopCore(ctx, config, members, tower, promptbook.Stop{}, nil)
		},
	})
}

// stopCore hands tenures over, lets the messages leave, and ends.
func stopCore(ctx context.Context, config playbill.Config, members *crew.Crew, tower *house.House, stop any, face *Face) error {
	asked, cancel := context.WithTimeout(ctx, config.Grace()/2)
	defer cancel()
	_, err := tower.Ask(asked, stop)
	if face != nil {
		err = face.Shutdown(asked)
	}
	linger := time.NewTimer(config.NewsEvery())
	defer linger.Stop()
	<-linger.C
	tower.Wings.Close()
	members.Stop(config.NewsEvery())
	return err
}

type callboardFace struct {
	config playbill.Config
	tower  *house.House
}

func (c *callboardFace) route(router *mux.Router) {
	common(router, "", c.tower, nil)
	router.HandleFunc("/ready", c.ask(func(*http.Request) any { return callboard.Ready{} })).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", c.ask(func(*http.Request) any { return callboard.ReadStatus{} })).Methods(http.MethodGet)
	router.HandleFunc("/v1/roster", c.ask(func(*http.Request) any { return callboard.ReadRoster{} })).Methods(http.MethodGet)
	router.HandleFunc("/v1/usage/{window:[0-9]+}", c.ask(func(in *http.Request) any {
		return callboard.ReadUsage{Window: number(in, "window")}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/layouts/check", c.check).Methods(http.MethodPost)
	router.HandleFunc("/v1/layouts/{sheet}", c.ask(func(in *http.Request) any {
		return callboard.GetLayout{Sheet: mux.Vars(in)["sheet"]}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/layouts/{sheet}", c.put).Methods(http.MethodPut)
	router.HandleFunc("/v1/layouts/{sheet}/versions", c.ask(func(in *http.Request) any {
		return callboard.GetLayout{Sheet: mux.Vars(in)["sheet"], List: true}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/layouts/{sheet}/status", c.ask(func(in *http.Request) any {
		return callboard.LayoutStatus{Sheet: mux.Vars(in)["sheet"]}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/layouts/{sheet}/{version:[0-9]+}/in-force", c.inForce).Methods(http.MethodGet)
	router.HandleFunc("/v1/layouts/{sheet}/{version:[0-9]+}", c.ask(func(in *http.Request) any {
		return callboard.GetLayout{Sheet: mux.Vars(in)["sheet"], Version: number(in, "version")}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/layouts/{sheet}/{version:[0-9]+}", c.put).Methods(http.MethodPut)
	router.HandleFunc("/v1/layouts/{sheet}", c.put).Methods(http.MethodPut)
}

func number(in *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(mux.Vars(in)[name], 10, 64)
	return value
}

// ask hands a question to the machine and its answer back.
func (c *callboardFace) ask(question func(in *http.Request) any) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) { c.answer(out, in, question(in)) }
}

func (c *callboardFace) answer(out http.ResponseWriter, in *http.Request, question any) {
	limited, cancel := context.WithTimeout(in.Context(), c.config.PutLimit()*2)
	defer cancel()
	answered, err := c.tower.Ask(limited, question)
	if err != nil {
		if _, isPut := question.(callboard.PutLayout); isPut {
			writeCode(out, notice.LayoutUnsure, "")
			return
		}
		writeCode(out, notice.Internal, "no answer from the control thread")
		return
	}
	writeAnswer(out, answered.(callboard.Answer))
}

func writeAnswer(out http.ResponseWriter, answer callboard.Answer) {
	headOf(out, answer.Code)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(answer.Code.Status())
	out.Write(answer.Body)
}

func (c *callboardFace) body(out http.ResponseWriter, in *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, c.config.Limits.Layout+1))
	if err != nil {
		writeCode(out, notice.LayoutTooLarge, "")
		return nil, false
	}
	return body, true
}

func (c *callboardFace) put(out http.ResponseWriter, in *http.Request) {
	if body, whole := c.body(out, in); whole {
		c.answer(out, in, callboard.PutLayout{Sheet: mux.Vars(in)["sheet"], Version: number(in, "version"), Body: body})
	}
}

// inForce answers once a version is in force on every usher, or when the caller's time
// (wait_ms) is up, with the names of those that lack it.
func (c *callboardFace) inForce(out http.ResponseWriter, in *http.Request) {
	wait := c.config.PutLimit()
	if asked, err := strconv.ParseInt(in.URL.Query().Get("wait_ms"), 10, 64); err == nil && asked >= 0 {
		wait = min(time.Duration(asked)*time.Millisecond, c.config.Grace())
	}
	limited, cancel := context.WithTimeout(in.Context(), wait)
	defer cancel()
	ticker := time.NewTicker(c.config.TickEvery())
	defer ticker.Stop()
	for {
		answered, err := c.tower.Ask(in.Context(), callboard.LayoutStatus{Sheet: mux.Vars(in)["sheet"], Version: number(in, "version")})
		if err != nil {
			writeCode(out, notice.Internal, "no answer from the control thread")
			return
		}
		answer := answered.(callboard.Answer)
		everywhere := gjson.GetBytes(answer.Body, "everywhere").Bool()
		if everywhere || limited.Err() != nil {
			if !everywhere && answer.Code == notice.OK {
				answer.Code = notice.LayoutLacking
			}
			writeAnswer(out, answer)
			return
		}
		select {
		case <-limited.Done():
		case <-ticker.C:
		}
	}
}

// check only checks; nothing is put.
func (c *callboardFace) check(out http.ResponseWriter, in *http.Request) {
	body, whole := c.body(out, in)
	if !whole {
		return
	}
	faults, tooLarge := blocking.Check(body, c.config.SheetLimits())
	code := notice.OK
	switch {
	case tooLarge:
		code = notice.LayoutTooLarge
	case len(faults) > 0:
		code = notice.LayoutBad
	}
	writeJSON(out, code.Status(), map[string]any{"code": int(code), "result": code.String(), "faults": faults})
}
