package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client received for a request.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, seal %q, attempt id %q, body %q", a.status, a.header.Get("X-Beaconvane-Server-Seal"), a.header.Get("X-Beaconvane-Attempt-Id"), a.body)
}

// clientRequest is a request in the bytes that a client sends.
func clientRequest(method, host, path, id, key string, deadlineMS int, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Beaconvane-Attempt-Id: %s\r\nX-Beaconvane-Deadline-Ms: %d\r\n", method, path, host, id, deadlineMS)
	if key != "" {
		text += "Authorization: Token " + key + "\r\n"
	}
	if body != "" || method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// readAnswer reads the next answer on a connection.
func readAnswer(reader *bufio.Reader, method string) answer {
	begun := time.Now()
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, elapsed: time.Since(begun)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err, elapsed: time.Since(begun)}
}

// ask sends one request on a new connection and waits for the answer.
func ask(address, text, method string, limit time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write([]byte(text)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), method)
}
