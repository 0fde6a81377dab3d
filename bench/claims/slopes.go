package claims

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/machine/entry/claims/batcher"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// printSlopes prints the cost of a ledger for each key, without any I/O.
func printSlopes(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nkeys\titems/record\tbody bytes\treplay ns/item\tlog bytes/key\theap bytes/key\tafter expiry\t")
	for _, keys := range []int{10_000, 50_000, 200_000} {
		for _, body := range []int{0, 200} {
			if err := printSlope(t, keys, body); err != nil {
				return err
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := printDecision(w); err != nil {
		return err
	}
	return printReads(w)
}

func printSlope(w io.Writer, keys, body int) error {
	const perRecord = 32
	records, bytes, err := stream(keys, body, perRecord)
	if err != nil {
		return err
	}
	l := ledger.New(ledger.Config{Window: time.Hour, MaxResultBytes: 1 << 30}, 0)
	before := heap()
	began := time.Now()
	at := time.Unix(1, 0)
	for i, data := range records {
		if _, err := l.Apply(contract.Offset(i+1), at, data, at); err != nil {
			return err
		}
	}
	took := time.Since(began)
	held := heap() - before
	const windows = 3 * time.Hour
	late := at.Add(windows)
	if _, err := l.Apply(contract.Offset(len(records)+1), late, records[0], late); err != nil {
		return err
	}
	after := heap() - before
	runtime.KeepAlive(records)
	_, err = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", keys, perRecord, body,
		took.Nanoseconds()/int64(2*keys), bytes/keys, held/int64(keys), after/int64(keys))
	runtime.KeepAlive(l)
	return err
}

// stream makes a claim and an outcome for each key.
func stream(keys, body, perRecord int) (records [][]byte, bytes int, err error) {
	b := &ledger.Batch{Writer: "entry-17-5"}
	for i := range keys {
		claim := contract.Claim{Service: "s", Team: "t", Key: fmt.Sprint(i)}
		request := contract.RequestID(fmt.Sprintf("entry-17-%016d", i))
		key := ledger.KeyOf(claim)
		result := &ledger.Result{Status: 200, ContentType: "application/json", Body: make([]byte, body), Outcome: contract.OutcomeDone}
		b.Items = append(b.Items,
			ledger.Item{Kind: ledger.KindClaim, Key: key, Request: request, BodyHash: ledger.BodyHashOf(claim)},
			ledger.Item{Kind: ledger.KindOutcome, Key: key, Request: request, Result: result})
		if len(b.Items) < perRecord && i < keys-1 {
			continue
		}
		b.Seq++
		data, err := b.Encode()
		if err != nil {
			return nil, 0, err
		}
		records = append(records, data)
		bytes += len(data)
		b.Items = nil
	}
	return records, bytes, nil
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// printDecision prints the cost of a keyed call in the machine: claim, read
// back, run, outcome, read back.
func printDecision(w io.Writer) error {
	const calls = 50_000
	config := claims.DefaultConfig("w")
	config.MaxKeys = 2 * calls
	m := claims.NewMachine(config, rand.New(rand.NewPCG(1, 1)), 0)
	now := time.Unix(1, 0)
	if err := m.ApplyRecords(now, nil, 0); err != nil {
		return err
	}
	d := &driver{machine: m, now: now}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range calls {
		if err := d.call(i); err != nil {
			return err
		}
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	_, err := fmt.Fprintf(w, "\none keyed call in one machine, no I/O, one item to a record: %d ns, %d allocations, %d bytes\n",
		took.Nanoseconds()/calls, (after.Mallocs-before.Mallocs)/calls, (after.TotalAlloc-before.TotalAlloc)/calls)
	return err
}

// driver feeds a machine its own appends.
type driver struct {
	machine *claims.Machine
	now     time.Time
	offset  contract.Offset
}

func (d *driver) call(i int) error {
	claim := contract.Claim{Service: "s", Team: "t", Key: fmt.Sprint(i), Request: contract.RequestID(fmt.Sprint(i))}
	if err := d.machine.Claim(d.now, claim); err != nil {
		return err
	}
	if err := d.drain(); err != nil {
		return err
	}
	if err := d.machine.Resolve(d.now, claim.Request, claims.Result{Outcome: contract.OutcomeDone}); err != nil {
		return err
	}
	return d.drain()
}

// drain appends what is due and reads it back.
func (d *driver) drain() error {
	const interval = 10 * time.Millisecond
	d.now = d.now.Add(interval)
	for _, eff := range d.machine.TakeEffects(d.now) {
		a, ok := eff.(claims.Append)
		if !ok {
			continue
		}
		data, err := a.Batch.Encode()
		if err != nil {
			return err
		}
		d.offset++
		record := claims.LogRecord{Offset: d.offset, Time: d.now, Data: data}
		d.machine.OnAppendResult(d.now, a.Batch.Seq, batcher.Appended)
		if err := d.machine.ApplyRecords(d.now, []claims.LogRecord{record}, d.offset); err != nil {
			return err
		}
	}
	return nil
}
