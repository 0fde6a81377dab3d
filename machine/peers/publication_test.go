package peers

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// recoveryBound is the time in which a fleet that lost power has to serve again.
const recoveryBound = 12 * time.Second

// writeOtherRun writes a member record of a process's machine as another run of it would.
func writeOtherRun(t *testing.T, store *fleet.Store, p *Peers) {
	t.Helper()
	other := p.opts.Self
	other.Fingerprint = link.FingerprintOf([]byte("another run"))
	data, err := other.encode()
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.TopicMembers, string(other.Machine), string(data))
}

// awaitPublished waits until the store has acknowledged a process's member record.
func awaitPublished(p *Peers) {
	for p.publishedAt.Load() == notPublished {
		time.Sleep(time.Millisecond)
	}
}

// requireLinkWithin fails the test unless a process is linked to a machine in time.
func requireLinkWithin(t *testing.T, p *Peers, id contract.MachineID, bound time.Duration) {
	t.Helper()
	for until := time.Now().Add(bound); !p.IsLinked(id); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s is not linked to %s after %v", p.opts.Self.Machine, id, bound)
		}
	}
}

// Guards against a process that stays cut off for good after the store has done a late write of an
// earlier run of its machine: no peer that starts later trusts its certificate.
func TestMemberRecordIsWrittenAgainAfterLateWriteOfEarlierRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		replace func(*testing.T, *fleet.Store, *Peers)
	}{
		{"late write", writeOtherRun},
		{"deletion", func(_ *testing.T, store *fleet.Store, p *Peers) {
			store.Put(platform.TopicMembers, string(p.opts.Self.Machine), "")
		}},
	} {
		for _, role := range []link.Role{link.RoleEntry, link.RoleTarget} {
			t.Run(test.name+" of "+string(role), func(t *testing.T) {
				t.Parallel()
				store := fleet.NewStore()
				t.Cleanup(store.Close)
				p := startMember(t, store, "a1", role, nil)
				awaitPublished(p)
				test.replace(t, store, p)
				peer := startEntry(t, store, "a2", nil)
				requireLinkWithin(t, peer, "a1", recoveryBound)
				if p.RewrittenCount() == 0 {
					t.Error("the rewritten member record was not counted")
				}
			})
		}
	}
}

// Guards against member records that are written again without need, at each start after an earlier run.
func TestRecordOfEarlierRunIsReplacedOnce(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	earlier := &Peers{opts: Options{Self: Member{Machine: "a1", Role: link.RoleEntry, Zone: "a", Region: "ra", Address: "127.0.0.1:1"}}}
	writeOtherRun(t, store, earlier)
	p := startEntry(t, store, "a1", nil)
	awaitPublished(p)
	requireLinkWithin(t, startEntry(t, store, "a2", nil), "a1", recoveryBound)
	if n := p.RewrittenCount(); n != 0 || !p.HasPreviousRun() {
		t.Errorf("record written again %d times, previous run known: %v; want 0 times and true", n, p.HasPreviousRun())
	}
}

// Guards against two processes with the name of one machine that keep the store busy: what follows a first
// rewrite is delayed more and more.
func TestRepeatedRewritesAreDelayed(t *testing.T) {
	var pacing rewritePacing
	start := time.Now()
	now := start
	rewrites := 0
	for ; now.Sub(start) < replacementMemory; rewrites++ {
		delay := pacing.nextDelay(now)
		if rewrites == 0 && delay != 0 {
			t.Errorf("first rewrite after %v, want at once", delay)
		}
		now = now.Add(delay + time.Millisecond)
	}
	if rewrites > 20 {
		t.Errorf("%d rewrites within %v", rewrites, replacementMemory)
	}
	if delay := pacing.nextDelay(now.Add(2 * replacementMemory)); delay != 0 {
		t.Errorf("rewrite after a long pause delayed by %v, want at once", delay)
	}
}
