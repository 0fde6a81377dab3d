package spread

// Mechanism names a mechanism that a test switches off.
type Mechanism = mechanism

// The mechanisms, for the tests of this package.
const (
	PullFromPeers      = pullFromPeers
	MonotonicOffset    = monotonicOffset
	ReadyGate          = readyGate
	PauseGate          = pauseGate
	BehindGate         = behindGate
	PeerConfirm        = peerConfirm
	CheckpointWrites   = checkpointWrites
	LogFallback        = logFallback
	LogAuthority       = logAuthority
	PeerCheckpoint     = peerCheckpoint
	MajorityCheckpoint = majorityCheckpoint
	AuditReads         = auditReads
	OutageBackOff      = outageBackOff
)

// Disable switches mechanisms off.
func (m *Machine) Disable(off Mechanism) {
	m.off |= off
}
