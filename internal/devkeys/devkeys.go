// Package devkeys makes a certificate authority and certificates for the demo
// and for tests. A production process never calls it.
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

// DefaultValidity is how long a certificate is valid.
const DefaultValidity = 30 * 24 * time.Hour

const clockSkew = time.Hour

// Authority signs certificates and writes them to a directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority and writes its certificate to dir/ca.pem.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "devkeys")
	}
	tmpl := template("authority", "authority", DefaultValidity)
	tmpl.IsCA = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "devkeys")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "devkeys")
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.caFile(), "CERTIFICATE", der)
}

func (a *Authority) caFile() string {
	return filepath.Join(a.dir, "ca.pem")
}

// Issue writes a certificate and key for a machine and returns their files. A
// negative validity gives an expired certificate.
func (a *Authority) Issue(machine string, role link.Role, validity time.Duration) (link.CredentialFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return link.CredentialFiles{}, errors.Wrap(err, "devkeys")
	}
	tmpl := template(machine, string(role), validity)
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return link.CredentialFiles{}, errors.Wrap(err, "devkeys")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return link.CredentialFiles{}, errors.Wrap(err, "devkeys")
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

func writePEM(file, kind string, der []byte) error {
	const ownerOnly = 0o600
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(file, data, ownerOnly), "devkeys")
}

// Credentials issues a certificate of the default validity and loads it.
func (a *Authority) IssueCredentials(machine string, role link.Role) (*link.Credentials, error) {
	files, err := a.Issue(machine, role, DefaultValidity)
	if err != nil {
		return nil, err
	}
	return link.LoadCredentials(files, role, time.Now())
}
