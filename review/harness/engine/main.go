//go:build review

// Command engine is a stand-in of an engine, in a process of its own so that it can be killed. It lists itself
// in the platform's store and answers each request with a stream of events that has no length and ends with its
// channel.
package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// beatInterval is the time between two entries in the store.
const beatInterval = 1200 * time.Millisecond

// engine holds the settings of the stand-in.
type engine struct {
	id, address, service, zone, store string
	events                            int
	eventInterval                     time.Duration
	born                              int64
}

func main() {
	e := &engine{born: time.Now().UnixMilli()}
	flag.StringVar(&e.id, "id", "engine-1", "id in the target list")
	flag.StringVar(&e.address, "address", "", "ip:port to listen at")
	flag.StringVar(&e.service, "service", "", "service of the engine")
	flag.StringVar(&e.zone, "zone", "", "zone of the engine")
	flag.StringVar(&e.store, "store", "", "ip:port of the store")
	flag.IntVar(&e.events, "events", 1, "events of a stream")
	flag.DurationVar(&e.eventInterval, "interval", time.Second, "time between two events")
	flag.Parse()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		log.Fatal(err)
	}
	go e.beat()
	log.Fatal(http.Serve(listener, http.HandlerFunc(e.serveStream)))
}

// beat writes the engine's entry to the store at an interval.
func (e *engine) beat() {
	for seq := 1; ; seq++ {
		value, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 16,
			"state": "ready", "cold_left_ms": 0, "seq_no": seq, "born": e.born,
		})
		record := append([]byte{byte(len(e.id))}, e.id...)
		record = append(record, value...)
		body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
		resp, err := http.Post("http://"+e.store+"/-/log-append?topic=keyed.servers&part=0", "application/octet-stream", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(beatInterval)
	}
}

// serveStream sends the events that follow the one in Last-Event-Id, and closes the channel.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Attempt-Id", attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	channel, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = channel.Close() }()
	_, err = fmt.Fprintf(channel, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nServer-Stamp: stamp-%d-%s\r\n"+
		"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, e.id, e.born, attempt)
	for id := after + 1; id <= e.events && err == nil; id++ {
		_, err = fmt.Fprintf(channel, "id: %d\ndata: piece %d of %d\n\n", id, id, e.events)
		time.Sleep(e.eventInterval)
	}
}
