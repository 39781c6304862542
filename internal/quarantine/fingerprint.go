package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strings"
)

// Fingerprint identifies what a caller asks for, so that a repetition of a request is
// recognized at any router. Its zero value stands for an unknown one.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request: the host without its port and in
// lower case, the method, the path and query as sent, the name of the workspace, or ""
// without one, and the body. A cryptographic hash keeps callers from making a request
// with the fingerprint of somebody else's, which would be refused with theirs.
func FingerprintOf(host, method, target, workspace string, body []byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	// The length before each field keeps different fields from having equal bytes.
	for _, field := range []string{bareHost(host), method, target, workspace} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	hash.Write(body)
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// bareHost returns a host in lower case and without its port.
func bareHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// String returns the fingerprint in hexadecimal digits, or "" if it is unknown.
func (f Fingerprint) String() string {
	if f == (Fingerprint{}) {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// subject returns the name of a fingerprint in log lines and as a key.
func (f Fingerprint) subject() string { return requestPrefix + f.String() }

// requestPrefix begins the subjects of fingerprints. Unlike those of segments they have no slash.
const requestPrefix = "request:"
