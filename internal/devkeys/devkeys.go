// Package devkeys creates a certificate authority and certificates for demos, benchmarks and
// tests. Production processes never use it.
package devkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/link"
)

// DefaultValidity is how long the authority and the certificates of IssueCredentials are
// valid.
const DefaultValidity = 30 * 24 * time.Hour

// clockSkew is the clock difference between hosts that is allowed for: a certificate is valid
// from twice this time before its issue.
const clockSkew = time.Hour

// Authority is a certificate authority that writes the certificates it signs to a directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority and writes its certificate to dir/ca.pem.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "devkeys: generate key of the authority")
	}
	tmpl := template("authority", "authority", DefaultValidity)
	tmpl.IsCA = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "devkeys: create certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "devkeys: parse certificate of the authority")
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.caFile(), "CERTIFICATE", der)
}

func (a *Authority) caFile() string {
	return filepath.Join(a.dir, "ca.pem")
}

// Issue writes a certificate and key for a machine and returns the names of their files. A
// negative validity results in an expired certificate.
func (a *Authority) Issue(machine string, role link.Role, validity time.Duration) (link.CredentialFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return link.CredentialFiles{}, errors.Wrap(err, "devkeys: generate key")
	}
	tmpl := template(machine, string(role), validity)
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return link.CredentialFiles{}, errors.Wrap(err, "devkeys: create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return link.CredentialFiles{}, errors.Wrap(err, "devkeys: encode key")
	}
	files := link.CredentialFiles{
		CA:   a.caFile(),
		Cert: filepath.Join(a.dir, machine+".pem"),
		Key:  filepath.Join(a.dir, machine+".key"),
	}
	if err := writePEM(files.Cert, "CERTIFICATE", der); err != nil {
		return link.CredentialFiles{}, err
	}
	return files, writePEM(files.Key, "EC PRIVATE KEY", keyDER)
}

// template returns a certificate with the fields that all certificates have. The role becomes
// its organizational unit.
func template(machine, role string, validity time.Duration) *x509.Certificate {
	now := time.Now()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err)
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: machine, OrganizationalUnit: []string{role}},
		NotBefore:             now.Add(-2 * clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}
}

// writePEM writes a PEM block to a file that only its owner may read.
func writePEM(file, kind string, der []byte) error {
	const ownerOnly = 0o600
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(file, data, ownerOnly), "devkeys: write PEM file")
}

// IssueCredentials issues a certificate with the default validity and loads it.
func (a *Authority) IssueCredentials(machine string, role link.Role) (*link.Credentials, error) {
	files, err := a.Issue(machine, role, DefaultValidity)
	if err != nil {
		return nil, err
	}
	return link.LoadCredentials(files, role, time.Now())
}
