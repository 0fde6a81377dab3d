package harness

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ownerOnlyMode is the mode of files that only their owner may read.
const ownerOnlyMode = 0o600

// writeTokens creates a token with every right and writes the tokens file and the file with
// the token itself.
func (c *Cluster) writeTokens() error {
	c.AdminToken = rand.Text()
	sum := sha256.Sum256([]byte(c.AdminToken))
	file, err := writeINI(c.Dir, "tokens.ini", []section{{
		name: "demo-operator",
		keys: map[string]string{"scope": "admin", "hash": "sha256:" + hex.EncodeToString(sum[:])},
	}})
	if err != nil {
		return err
	}
	c.TokensFile = file
	return errors.Wrap(os.WriteFile(filepath.Join(c.Dir, "admin.token"), []byte(c.AdminToken), ownerOnlyMode), "harness")
}
