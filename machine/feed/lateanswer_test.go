package feed

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/platform"
)

// Guards against requests that begin on weights that are too old (VERSION, incident inc1): the answer of the store that
// there is nothing new was read long after the store had given it, and a version that had been announced meanwhile
// counted as seen at the moment of its announcement.
func TestAnswerThatIsReadLateIsAsOldAsItsCall(t *testing.T) {
	t.Parallel()
	const maxWait, heldUp = 100 * time.Millisecond, 700 * time.Millisecond
	var reads atomic.Int32
	var emptyCallBegan atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "newest") {
			_, _ = w.Write([]byte(`{"items":[],"has_more":false,"end_offset":0}`))
			return
		}
		switch reads.Add(1) {
		case 1:
			emptyCallBegan.Store(time.Now().UnixNano())
			time.Sleep(maxWait + heldUp)
			_, _ = w.Write(make([]byte, 16))
		case 2:
			_, _ = w.Write(readReply(1, "key", "value"))
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	updates := make(chan Update, 8)
	f := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Options{
		Topic: platform.TopicOperators, MaxWait: maxWait, OnChange: func(u Update) { updates <- u },
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	var update Update
	for len(update.Records) == 0 {
		update = <-updates
	}
	// The store may have given the empty answer as soon as the time to wait had passed.
	latest := time.Unix(0, emptyCallBegan.Load()).Add(maxWait)
	if late := update.CaughtUpAt.Sub(latest); late > heldUp/2 {
		t.Errorf("CaughtUpAt is %v after the store gave the last answer without a record, want at most %v", late, heldUp/2)
	}
	cancel()
	<-done
}

// readReply encodes the reply to a read of a keyed topic that has one record, at offset 0.
func readReply(end uint64, key, value string) []byte {
	record := append([]byte{byte(len(key))}, key+value...)
	reply := binary.BigEndian.AppendUint64(nil, end)
	reply = binary.BigEndian.AppendUint64(reply, 0)
	reply = binary.BigEndian.AppendUint32(reply, uint32(len(record)))
	return append(reply, record...)
}

// Guards against requests that are refused although they may begin on the weights of an engine: of two records that are
// written within the time for which a read waits, the second one was dated by when the read of the first one began, up to
// twice that time ago.
func TestRecordThatFollowsAnotherIsDatedClosely(t *testing.T) {
	t.Parallel()
	const maxWait, apart, slack = 600 * time.Millisecond, 500 * time.Millisecond, 150 * time.Millisecond
	started := time.Now()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "newest") {
			_, _ = w.Write([]byte(`{"items":[],"has_more":false,"end_offset":0}`))
			return
		}
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		if from > 1 {
			<-r.Context().Done()
			return
		}
		untilRecord := time.Until(started.Add(time.Duration(from+1) * apart))
		if wait := time.Duration(waitMS) * time.Millisecond; wait < untilRecord {
			time.Sleep(wait)
			_, _ = w.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(from)), 0))
			return
		}
		time.Sleep(untilRecord)
		_, _ = w.Write(readReply(uint64(from)+1, strconv.Itoa(from), "value"))
	}))
	t.Cleanup(server.Close)
	updates := make(chan Update, 8)
	f := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Options{
		Topic: platform.TopicOperators, MaxWait: maxWait, MinWait: maxWait - 10*time.Millisecond, OnChange: func(u Update) { updates <- u },
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	var update Update
	for len(update.Records) == 0 || update.Records[0].Key != "1" {
		update = <-updates
	}
	if gap := time.Since(update.CaughtUpAt); gap > apart+slack {
		t.Errorf("the second record is dated by an answer %v before it, want at most %v", gap, apart+slack)
	}
	cancel()
	<-done
}
