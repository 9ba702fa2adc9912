package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/frontend"
)

const (
	maxPipelined    = 3
	maxLeaveDelay   = 15 * time.Millisecond // from the last request until the client gives up
	quitterPause    = 150 * time.Millisecond
	largePause      = 2 * time.Second
	largeBytes      = 22 << 20 // of an upload
	largeAnswer     = 14 << 20 // of an answer
	maxClientTime   = patience
	answerBytesName = "X-Soak-Answer-Bytes"
)

// wayToLeave is how a client ends its connection before it has its answers.
type wayToLeave int

const (
	halfCloses wayToLeave = iota // ends its direction and reads on
	closes
	resets
	waysToLeave
)

// quitter sends pipelined requests on new connections and gives up.
type quitter struct {
	seen   *observations
	proxy  string
	name   string
	random *rand.Rand
	number int
}

// run sends requests until ctx ends.
func (q *quitter) run(ctx context.Context) {
	for ctx.Err() == nil {
		q.sendAndLeave(ctx)
		sleep(ctx, time.Duration(q.random.Int64N(int64(quitterPause))))
	}
}

// sendAndLeave sends a few requests on a new connection and gives up; what still comes back is observed.
func (q *quitter) sendAndLeave(ctx context.Context) {
	way := wayToLeave(q.random.IntN(int(waysToLeave)))
	sent, text := []request{}, bytes.Buffer{}
	for range 1 + q.random.IntN(maxPipelined) {
		q.number++
		next := request{
			id: fmt.Sprintf("%s-%d", q.name, q.number), proxy: q.proxy, host: shopHost, path: mainPath, key: tenantKey,
			sentAt: q.seen.now(),
		}
		method := http.MethodGet
		if q.random.Float64() < 0.4 {
			method, next.path, next.once = http.MethodPost, oncePath, true
		}
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			method, next.path, shopHost, requestIDHeader, next.id, frontend.APIKeyHeader, next.key)
		sent = append(sent, next)
	}
	delay := time.Duration(q.random.Int64N(int64(maxLeaveDelay)))
	conn, err := net.DialTimeout("tcp", q.proxy, upstreamTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(maxClientTime)) // fails only on a closed connection
	if _, err := conn.Write(text.Bytes()); err != nil {
		return
	}
	read := 0
	defer func() {
		for _, next := range sent[read:] {
			next.answered, next.endedAt = true, q.seen.now()
			q.seen.addRequest(next)
		}
	}()
	sleep(ctx, delay)
	tcp := conn.(*net.TCPConn) //nolint:forcetypeassert // a connection that was dialed as TCP
	switch way {
	case halfCloses:
		_ = tcp.CloseWrite()
		q.seen.count(countHalfCloses)
	case resets:
		_ = tcp.SetLinger(0)
		return
	case closes, waysToLeave:
		return
	}
	reader := bufio.NewReader(conn)
	for ; read < len(sent); read++ {
		next := sent[read]
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return
		}
		next.status, next.answer, next.answered, next.endedAt = response.StatusCode, string(answer), true, q.seen.now()
		q.seen.addRequest(next)
	}
}

// sendLarge sends large uploads, and requests with large answers, through all proxies at once, until ctx ends.
func sendLarge(ctx context.Context, seen *observations, proxies []string, random *rand.Rand) {
	client := newClient(patience)
	body := bytes.Repeat([]byte("contact\n"), largeBytes/len("contact\n"))
	for wave := 0; ctx.Err() == nil; wave++ {
		uploads := random.Float64() < 0.5
		done := make(chan struct{})
		for index, proxy := range proxies {
			go func() {
				sendOneLarge(seen, client, proxy, fmt.Sprintf("large-%d-%d", wave, index), body, uploads)
				done <- struct{}{}
			}()
		}
		for range proxies {
			<-done
		}
		sleep(ctx, time.Duration(random.Int64N(int64(largePause))))
	}
}

// sendOneLarge sends one large upload, or a request with a large answer.
func sendOneLarge(seen *observations, client *http.Client, proxy, id string, body []byte, upload bool) {
	sent := request{id: id, proxy: proxy, host: shopHost, path: oncePath, key: tenantKey, once: upload, sentAt: seen.now()}
	method, content := http.MethodPost, body
	if !upload {
		method, content, sent.path = http.MethodGet, nil, mainPath
	}
	out, err := http.NewRequest(method, "http://"+proxy+sent.path, bytes.NewReader(content))
	if err != nil {
		panic("soak: " + err.Error()) // a programming error: the addresses and paths are valid
	}
	out.Host = shopHost
	out.Header.Set(requestIDHeader, id)
	out.Header.Set(frontend.APIKeyHeader, tenantKey)
	if !upload {
		out.Header.Set(answerBytesName, strconv.Itoa(largeAnswer))
		seen.count(countLargeAnswers)
	} else {
		seen.count(countUploads)
	}
	response, err := client.Do(out)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			sent.status, sent.answer = response.StatusCode, withoutPadding(answer, !upload)
		}
	}
	sent.endedAt, sent.answered = seen.now(), !isTimeout(err)
	seen.addRequest(sent)
}

// paddingByte fills an answer up to the wanted size.
const paddingByte = "."

// padded fills an answer up to the size that the request asks for.
func padded(answer string, in *http.Request) string {
	size, err := strconv.Atoi(in.Header.Get(answerBytesName))
	if err != nil || size <= len(answer) {
		return answer
	}
	return answer + strings.Repeat(paddingByte, size-len(answer))
}

// withoutPadding returns an answer without its padding. A large one of another size than the wanted one is cut short.
func withoutPadding(answer []byte, large bool) string {
	if large && bytes.HasSuffix(answer, []byte(paddingByte)) && len(answer) != largeAnswer {
		return fmt.Sprintf("%d bytes of %d", len(answer), largeAnswer)
	}
	return string(bytes.TrimRight(answer, paddingByte))
}
