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

// Role is what a certificate allows its holder to be.
type Role string

// The roles of the system's processes.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Peer is the identity in a certificate: the common name is the machine, the
// organizational unit is the role.
type Peer struct {
	Machine contract.MachineID
	Role    Role
}

// ErrCredentials marks key or certificate files that cannot be used.
var ErrCredentials = errors.New("link: unusable credentials")

// Files names the PEM files of a process's credentials.
type CredentialFiles struct {
	CA, Cert, Key string
}

// material is a certificate and the check of a peer's one, whose errors are
// ErrPeer.
type material struct {
	cert  *tls.Certificate
	check func(leaf *x509.Certificate, usage x509.ExtKeyUsage) error
}

// Credentials holds a certificate and the authorities to check peers against.
// Reload replaces them for new connections; it is safe for concurrent use.
type Credentials struct {
	files   CredentialFiles
	role    Role
	current atomic.Pointer[material]
}

// LoadCredentials reads files and checks that the certificate is valid now,
// chains to the authority and names role. It fails with ErrCredentials.
func LoadCredentials(files CredentialFiles, role Role, now time.Time) (*Credentials, error) {
	c := &Credentials{files: files, role: role}
	if err := c.Reload(now); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again. On failure the former material stays in use.
func (c *Credentials) Reload(now time.Time) error {
	m, err := c.read(now)
	if err != nil {
		return errors.Mark(err, ErrCredentials)
	}
	c.current.Store(m)
	return nil
}

func (c *Credentials) read(now time.Time) (*material, error) {
	caPEM, err := os.ReadFile(c.files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Newf("%s holds no certificate", c.files.CA)
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
		return nil, errors.Wrapf(err, "certificate %s", c.files.Cert)
	}
	peer, err := peerOf(leaf)
	if err != nil {
		return nil, err
	}
	if peer.Role != c.role {
		return nil, errors.Newf("certificate %s has role %q, want %q", c.files.Cert, peer.Role, c.role)
	}
	return &material{cert: &cert, check: chained(pool)}, nil
}

func peerOf(leaf *x509.Certificate) (Peer, error) {
	if leaf.Subject.CommonName == "" || len(leaf.Subject.OrganizationalUnit) != 1 {
		return Peer{}, ErrPeerIdentity
	}
	role := Role(leaf.Subject.OrganizationalUnit[0])
	if role != RoleEntry && role != RoleTarget {
		return Peer{}, errors.Wrapf(ErrPeerIdentity, "role %q", role)
	}
	return Peer{Machine: contract.MachineID(leaf.Subject.CommonName), Role: role}, nil
}

const alpn = "mimosastand/1"

// serverConfig checks clients' chains itself, so that each refusal is told to
// rejected.
func (c *Credentials) serverConfig(rejected func(error)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpn},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{alpn},
				Certificates:     []tls.Certificate{*m.cert},
				ClientAuth:       tls.RequireAnyClientCert,
				VerifyConnection: m.verifier(x509.ExtKeyUsageClientAuth, rejected),
			}, nil
		},
	}
}

// clientConfig verifies the server's chain itself, because servers are named
// by machine and not by host name.
func (c *Credentials) clientConfig(rejected func(error)) *tls.Config {
	m := c.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{alpn},
		Certificates:       []tls.Certificate{*m.cert},
		InsecureSkipVerify: true,
		VerifyConnection:   m.verifier(x509.ExtKeyUsageServerAuth, rejected),
	}
}

// verifier checks a peer's certificate for a usage and tells rejected of a
// refusal. Its errors are ErrPeer.
func (m *material) verifier(usage x509.ExtKeyUsage, rejected func(error)) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := m.verify(state, usage)
		if err != nil {
			rejected(err)
		}
		return err
	}
}

func (m *material) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return ErrPeerIdentity
	}
	return m.check(state.PeerCertificates[0], usage)
}

// chained checks that a certificate chains to an authority of pool.
func chained(pool *x509.CertPool) func(*x509.Certificate, x509.ExtKeyUsage) error {
	return func(leaf *x509.Certificate, usage x509.ExtKeyUsage) error {
		_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{usage}})
		if err != nil {
			return errors.Mark(errors.Wrap(err, "link: certificate"), ErrPeerIdentity)
		}
		return nil
	}
}
