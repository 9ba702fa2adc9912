// This file is the operators' side of callboard's command line: the same calls as
// over HTTP, with the answer printed and an exit code that a script can use.
package marquee

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/callboard"
	"beaconvane/internal/crew"
	"beaconvane/internal/foyer"
	"beaconvane/internal/house"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/promptbook"
	"beaconvane/internal/script"
)

// Seat adds what an operator does to a stopped core program's disk.
func Seat(role string) func(root *cobra.Command) {
	return func(root *cobra.Command) {
		configPath := ""
		seat := &cobra.Command{Use: "seat", Short: "the seat this disk holds"}
		forsake := &cobra.Command{Use: "forsake", Args: cobra.NoArgs, Short: "on the stopped survivor of two lost disks: give the other two seats up",
			RunE: func(*cobra.Command, []string) error { return forsakeSeats(role, configPath) }}
		forsake.Flags().StringVar(&configPath, "config", "", "settings file of the stopped program")
		forsake.MarkFlagRequired("config")
		seat.AddCommand(forsake)
		root.AddCommand(seat)
	}
}

func forsakeSeats(role, configPath string) error {
	config, err := playbill.Load(role, configPath, nil)
	if err != nil {
		return err
	}
	// The running program holds its address; an offline change must not race it.
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return notice.Wrap("operator.forsake", notice.Internal, fmt.Errorf("stop the program first: %w", err))
	}
	defer listener.Close()
	tower := house.New(config, role, crew.New())
	store, view, records, err := tower.OpenDisk()
	if err != nil {
		return err
	}
	if view == nil {
		return notice.Wrap("operator.forsake", notice.SeatRecovering, fmt.Errorf("this disk is empty: run it on the survivor"))
	}
	var machine interface{ Forsake() []byte }
	if role == script.RoleCallboard {
		machine, err = callboard.New(config, house.Self(config, role), view, records)
	} else {
		machine, err = promptbook.New(config, house.Self(config, role), view, records)
	}
	if err != nil {
		return err
	}
	if err := store.Compact(machine.Forsake()); err != nil {
		return err
	}
	fmt.Println("the other seats are given up; start this program, then the empty ones")
	return nil
}

// outcome is an answer to an operator's call.
type outcome struct {
	status int
	code   string
	body   []byte
	err    error
}

// asked makes one call.
func asked(at, method, path string, body []byte) outcome {
	request, err := http.NewRequest(method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return outcome{err: notice.Wrap("operator.call", notice.Internal, err)}
	}
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: notice.Wrap("operator.call", notice.WireLost, err)}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{err: notice.Wrap("operator.call", notice.WireLost, err)}
	}
	return outcome{status: response.StatusCode, code: response.Header.Get(foyer.CodeHeader), body: answer}
}

// show prints the answer; an error unless it is 200.
func (o outcome) show(out io.Writer) error {
	if o.err != nil {
		return o.err
	}
	out.Write(o.body)
	if len(o.body) == 0 || o.body[len(o.body)-1] != '\n' {
		fmt.Fprintln(out)
	}
	if o.status != http.StatusOK {
		return fmt.Errorf("status %d, code %s", o.status, o.code)
	}
	return nil
}

// early: nothing was changed, and the cause is over once the seats have their group:
// nobody listens yet, nobody holds the book, or the holder is still reading.
func (o outcome) early() (cause string, early bool) {
	if o.err != nil {
		return "nobody listens yet", errors.Is(o.err, syscall.ECONNREFUSED)
	}
	for _, code := range []notice.Code{notice.LayoutNoHolder, notice.LayoutBehind} {
		if o.code == strconv.Itoa(int(code)) {
			return fmt.Sprintf("%s (%d)", code, int(code)), true
		}
	}
	return "", false
}

// pausePut is between two puts of the same.
const pausePut = 250 * time.Millisecond

// persist tries again for as long as it is too early, within a bound, and says so once
// for each cause.
func persist(try func() outcome, patience, pause time.Duration, says io.Writer) outcome {
	limited, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for said := ""; ; {
		told := try()
		cause, early := told.early()
		if !early || limited.Err() != nil {
			return told
		}
		if cause != said {
			fmt.Fprintf(says, "waiting up to %v for the group of seats: %s\n", patience, cause)
			said = cause
		}
		select {
		case <-limited.Done():
			return told
		case <-ticker.C:
		}
	}
}

// Operator adds the operators' commands to callboard.
func Operator(root *cobra.Command) {
	Seat(script.RoleCallboard)(root)
	at := ""
	call := func(method, path string, body []byte) error { return asked(at, method, path, body).show(os.Stdout) }
	add := func(parent *cobra.Command, use, short string, args int, run func(args []string) error) *cobra.Command {
		command := &cobra.Command{Use: use, Short: short, Args: cobra.RangeArgs(args, args+1), RunE: func(_ *cobra.Command, given []string) error { return run(given) }}
		command.Flags().StringVar(&at, "at", "127.0.0.1:7480", "ip:port of a callboard")
		parent.AddCommand(command)
		return command
	}
	read := func(path string) ([]byte, error) {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, notice.Wrap("operator.read", notice.ConfigUnreadable, err)
		}
		return body, nil
	}
	layout := &cobra.Command{Use: "layout", Short: "put, get, check layouts; see where they are in force"}
	patience := time.Duration(0)
	put := add(layout, "put SHEET VERSION FILE", "put a whole new version", 3, func(args []string) error {
		body, err := read(args[2])
		if err != nil {
			return err
		}
		try := func() outcome { return asked(at, http.MethodPut, "/v1/layouts/"+args[0]+"/"+args[1], body) }
		return persist(try, patience, pausePut, os.Stderr).show(os.Stdout)
	})
	put.Flags().DurationVar(&patience, "wait", 15*time.Second, "how long to put again while no group takes it; 0: not at all")
	add(layout, "get SHEET [VERSION]", "the very bytes of the current or a kept version", 1, func(args []string) error {
		path := "/v1/layouts/" + args[0]
		if len(args) == 2 {
			path += "/" + args[1]
		}
		return call(http.MethodGet, path, nil)
	})
	add(layout, "versions SHEET", "the kept versions", 1, func(args []string) error {
		return call(http.MethodGet, "/v1/layouts/"+args[0]+"/versions", nil)
	})
	add(layout, "status SHEET", "which nodes have it in force", 1, func(args []string) error {
		return call(http.MethodGet, "/v1/layouts/"+args[0]+"/status", nil)
	})
	add(layout, "wait SHEET VERSION [MILLISECONDS]", "until it is in force on every usher; names those that lack it", 2, func(args []string) error {
		path := "/v1/layouts/" + args[0] + "/" + args[1] + "/in-force"
		if len(args) == 3 {
			path += "?wait_ms=" + args[2]
		}
		return call(http.MethodGet, path, nil)
	})
	add(layout, "check FILE", "check a sheet, put nothing", 1, func(args []string) error {
		body, err := read(args[0])
		if err != nil {
			return err
		}
		return call(http.MethodPost, "/v1/layouts/check", body)
	})
	root.AddCommand(layout)
	for path, short := range map[string]string{"status": "members, tenures, relays and sheets", "roster": "the registrations by district"} {
		add(root, path, short, 0, func([]string) error { return call(http.MethodGet, "/v1/"+path, nil) })
	}
	add(root, "journal", "what this callboard did and why", 0, func([]string) error { return call(http.MethodGet, "/journal", nil) })
	add(root, "usage WINDOW", "a sealed usage window", 1, func(args []string) error {
		return call(http.MethodGet, "/v1/usage/"+args[0], nil)
	})
}
