package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// tlsSettings returns settings with a new self-signed certificate for name, which
// they also trust.
func tlsSettings(t *testing.T, name string) Settings {
	t.Helper()
	s := testSettings()
	files, err := tlsfile.Generate(t.TempDir(), []string{name}, time.Hour)
	assert.NilError(t, err)
	s.TLS, s.CAFile = files, files.CertFile
	return s
}

// TestLinkOverTLS guards against a link that accepts a router with an untrusted
// certificate, with a certificate for another name, or without TLS. A request between
// routers with the right certificate must succeed.
func TestLinkOverTLS(t *testing.T) {
	dir := newFakeDirectory()
	fleet := tlsSettings(t, CertName)
	one, two := startLink(t, "one", fleet, dir), startLink(t, "two", fleet, dir)
	response, err := one.Request(t.Context(), two.Self().ID, "echo", []byte("hi"))
	assert.NilError(t, err)
	assert.Equal(t, string(response), "one:hi")

	misnamed := tlsSettings(t, "elsewhere.example")
	misnamed.CAFile = fleet.CAFile
	trustsMisnamed := fleet
	trustsMisnamed.CAFile = misnamed.TLS.CertFile
	for name, s := range map[string]Settings{"foreign": tlsSettings(t, CertName), "misnamed": misnamed, "plain": testSettings()} {
		other := startLink(t, name, s, dir)
		from := one
		if name == "misnamed" {
			from = startLink(t, "trusting", trustsMisnamed, dir)
		}
		_, err := from.Request(t.Context(), other.Self().ID, "echo", nil)
		assert.Equal(t, failure.CodeOf(err), failure.PeerUnavailable, "%s: %v", name, err)
	}
}
