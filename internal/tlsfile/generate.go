package tlsfile

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that Generate writes to its directory.
const (
	CertFileName = "cert.pem"
	KeyFileName  = "key.pem"
)

// Modes of the files. Only its owner may read the key.
const (
	certMode = 0o644
	keyMode  = 0o600
)

// serialBits is the length of a certificate's random serial number in bits.
const serialBits = 128

// clockSkewAllowance is the time before its creation from which a certificate is
// valid, for machines whose clocks are behind.
const clockSkewAllowance = time.Hour

// Generate writes a self-signed certificate for hosts, which are names or IP
// addresses, and its key to dir, and returns the settings that name the files. It
// returns an error if one of the files exists, and doesn't replace it.
func Generate(dir string, hosts []string, validity time.Duration) (Settings, error) {
	s := Settings{CertFile: filepath.Join(dir, CertFileName), KeyFile: filepath.Join(dir, KeyFileName)}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return s, fmt.Errorf("generate private key: %w", err)
	}
	template, err := newTemplate(hosts, validity)
	if err != nil {
		return s, err
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return s, fmt.Errorf("create certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return s, fmt.Errorf("encode private key: %w", err)
	}
	return s, errors.Join(
		writePEM(s.KeyFile, "PRIVATE KEY", keyDER, keyMode),
		writePEM(s.CertFile, "CERTIFICATE", certDER, certMode),
	)
}

// newTemplate returns the template of a server certificate for hosts that is its
// own certificate authority.
func newTemplate(hosts []string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number of certificate: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "daisyslip"},
		NotBefore:             now.Add(-clockSkewAllowance),
		NotAfter:              now.Add(validity),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	return template, nil
}

// writePEM writes one PEM block to a new file at path.
func writePEM(path, blockType string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write %s: %w", blockType, err)
	}
	return errors.Join(pem.Encode(f, &pem.Block{Type: blockType, Bytes: data}), f.Close())
}

// ClientConfig returns a TLS configuration for clients that trusts only the
// certificates in a PEM file. The server's certificate must be valid for
// serverName, or for the host that is dialed if serverName is empty.
func ClientConfig(caFile, serverName string) (*tls.Config, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("load trusted certificates: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("load trusted certificates: no PEM certificate in %s", caFile)
	}
	return &tls.Config{RootCAs: roots, ServerName: serverName, MinVersion: tls.VersionTLS12}, nil
}
