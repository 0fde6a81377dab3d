package feed

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
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
