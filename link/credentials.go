package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// Role is the role that a certificate grants to its holder.
type Role string

// The roles of the system's processes.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Peer is the identity in a certificate: the common name is the name of the host, the
// organizational unit is the role.
type Peer struct {
	Machine contract.MachineID
	Role    Role
}

// ErrCredentials marks credentials that cannot be loaded or created.
var ErrCredentials = errors.New("link: unusable credentials")

// CredentialFiles holds the paths of the PEM files of a process's credentials.
type CredentialFiles struct {
	CA, Cert, Key string
}

// activeCredentials are a certificate and the function that verifies the certificates
// of peers. The function's errors are ErrPeerIdentity.
type activeCredentials struct {
	cert       *tls.Certificate
	verifyPeer func(leaf *x509.Certificate, usage x509.ExtKeyUsage) error
}

// Credentials holds a certificate and verifies the certificates of peers. Reload
// replaces both for new connections. It is safe for concurrent use.
type Credentials struct {
	files   CredentialFiles
	role    Role
	current atomic.Pointer[activeCredentials]
}

// LoadCredentials reads files and checks that the certificate is valid at now, chains
// to the authority and has the given role. It fails with ErrCredentials.
func LoadCredentials(files CredentialFiles, role Role, now time.Time) (*Credentials, error) {
	c := &Credentials{files: files, role: role}
	if err := c.Reload(now); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again. If it fails, with ErrCredentials, the previous
// credentials stay in use.
func (c *Credentials) Reload(now time.Time) error {
	active, err := c.load(now)
	if err != nil {
		return errors.Mark(err, ErrCredentials)
	}
	c.current.Store(active)
	return nil
}

func (c *Credentials) load(now time.Time) (*activeCredentials, error) {
	caPEM, err := os.ReadFile(c.files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Newf("%s contains no PEM certificate", c.files.CA)
	}
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read key pair")
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	cert.Leaf = leaf
	opts := x509.VerifyOptions{Roots: pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := leaf.Verify(opts); err != nil {
		return nil, errors.Wrapf(err, "verify certificate %s", c.files.Cert)
	}
	peer, err := peerFromCertificate(leaf)
	if err != nil {
		return nil, err
	}
	if peer.Role != c.role {
		return nil, errors.Newf("certificate %s has role %q, want %q", c.files.Cert, peer.Role, c.role)
	}
	return &activeCredentials{cert: &cert, verifyPeer: newChainVerifier(pool)}, nil
}

func peerFromCertificate(leaf *x509.Certificate) (Peer, error) {
	if leaf.Subject.CommonName == "" || len(leaf.Subject.OrganizationalUnit) != 1 {
		return Peer{}, ErrPeerIdentity
	}
	role := Role(leaf.Subject.OrganizationalUnit[0])
	if role != RoleEntry && role != RoleTarget {
		return Peer{}, errors.Wrapf(ErrPeerIdentity, "unknown role %q", role)
	}
	return Peer{Machine: contract.MachineID(leaf.Subject.CommonName), Role: role}, nil
}

const alpn = "mimosastand/1"

// serverConfig returns the TLS configuration for accepted connections. It verifies the
// certificates of clients by a function of its own, so that each refusal is reported to
// onRejected.
func (c *Credentials) serverConfig(onRejected func(error)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpn},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			active := c.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{alpn},
				Certificates:     []tls.Certificate{*active.cert},
				ClientAuth:       tls.RequireAnyClientCert,
				VerifyConnection: active.connectionVerifier(x509.ExtKeyUsageClientAuth, onRejected),
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration for dialed connections. It verifies the
// certificate of the server by a function of its own, because certificates have the
// MachineID of the server and not the DNS name that crypto/tls would verify.
func (c *Credentials) clientConfig(onRejected func(error)) *tls.Config {
	active := c.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{alpn},
		Certificates:       []tls.Certificate{*active.cert},
		InsecureSkipVerify: true,
		VerifyConnection:   active.connectionVerifier(x509.ExtKeyUsageServerAuth, onRejected),
	}
}

// connectionVerifier returns a function that verifies the peer's certificate for a
// usage and reports a refusal to onRejected. The function's errors are ErrPeerIdentity.
func (a *activeCredentials) connectionVerifier(usage x509.ExtKeyUsage, onRejected func(error)) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := a.verifyConnection(state, usage)
		if err != nil {
			onRejected(err)
		}
		return err
	}
}

func (a *activeCredentials) verifyConnection(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return ErrPeerIdentity
	}
	return a.verifyPeer(state.PeerCertificates[0], usage)
}

// newChainVerifier returns a function that verifies that a certificate chains to an
// authority in pool.
func newChainVerifier(pool *x509.CertPool) func(*x509.Certificate, x509.ExtKeyUsage) error {
	return func(leaf *x509.Certificate, usage x509.ExtKeyUsage) error {
		_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{usage}})
		if err != nil {
			return errors.Mark(errors.Wrap(err, "link: verify certificate"), ErrPeerIdentity)
		}
		return nil
	}
}
