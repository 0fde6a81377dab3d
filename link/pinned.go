package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// Fingerprint is the SHA-256 hash of a certificate, in hexadecimal.
type Fingerprint string

// FingerprintOf returns the fingerprint of a certificate in DER form.
func FingerprintOf(der []byte) Fingerprint {
	sum := sha256.Sum256(der)
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// Short returns the beginning of the fingerprint, for logs.
func (f Fingerprint) Short() string { return string(f[:min(len(f), shortFingerprintDigits)]) }

// shortFingerprintDigits is enough to distinguish the runs of one machine.
const shortFingerprintDigits = 12

// certificateValidity is how long a self-signed certificate is valid before and after
// its creation. It is long because the local clock may jump; each start of a process
// creates a new certificate.
const certificateValidity = 10 * 365 * 24 * time.Hour

// NewPinnedCredentials creates a key and a self-signed certificate for self. The
// credentials trust exactly the peers for which trusted returns true. It fails with
// ErrCredentials.
func NewPinnedCredentials(self Peer, trusted func(Peer, Fingerprint) bool) (*Credentials, Fingerprint, error) {
	cert, err := selfSigned(self)
	if err != nil {
		return nil, "", errors.Mark(err, ErrCredentials)
	}
	c := &Credentials{role: self.Role}
	c.current.Store(&activeCredentials{cert: cert, verifyPeer: newPinVerifier(trusted)})
	return c, FingerprintOf(cert.Certificate[0]), nil
}

func selfSigned(self Peer) (*tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: string(self.Machine), OrganizationalUnit: []string{string(self.Role)}},
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, nil
}

// newPinVerifier returns a function that verifies that the fingerprint of a peer's
// certificate is trusted.
func newPinVerifier(trusted func(Peer, Fingerprint) bool) func(*x509.Certificate, x509.ExtKeyUsage) error {
	return func(leaf *x509.Certificate, _ x509.ExtKeyUsage) error {
		peer, err := peerFromCertificate(leaf)
		if err != nil {
			return err
		}
		if fingerprint := FingerprintOf(leaf.Raw); !trusted(peer, fingerprint) {
			return errors.Wrapf(ErrPeerIdentity, "certificate fingerprint %s of %s is not trusted", fingerprint.Short(), peer.Machine)
		}
		return nil
	}
}
