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

// Names of the files that Generate writes.
const (
	CertFileName = "cert.pem"
	KeyFileName  = "key.pem"
)

// Modes of the files: the key is for its owner only.
const (
	certMode = 0o644
	keyMode  = 0o600
)

// serialBits is the size of a certificate's random serial number.
const serialBits = 128

// clockSkew is how far a new certificate reaches into the past, for machines
// whose clocks are behind.
const clockSkewAllowance = time.Hour

// Generate writes a self-signed certificate for hosts, which are names or IP
// numbers, and its key to dir, and returns the settings that name them. Files
// that exist are not replaced.
func Generate(dir string, hosts []string, validity time.Duration) (Settings, error) {
	s := Settings{CertFile: filepath.Join(dir, CertFileName), KeyFile: filepath.Join(dir, KeyFileName)}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return s, fmt.Errorf("make key: %w", err)
	}
	template, err := newTemplate(hosts, validity)
	if err != nil {
		return s, err
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return s, fmt.Errorf("make certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return s, fmt.Errorf("encode key: %w", err)
	}
	return s, errors.Join(
		writePEM(s.KeyFile, "PRIVATE KEY", keyDER, keyMode),
		writePEM(s.CertFile, "CERTIFICATE", certDER, certMode),
	)
}

// newTemplate describes a certificate that is its own authority.
func newTemplate(hosts []string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
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

func writePEM(path, blockType string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write %s: %w", blockType, err)
	}
	return errors.Join(pem.Encode(f, &pem.Block{Type: blockType, Bytes: data}), f.Close())
}

// ClientConfig returns a configuration that trusts the certificates of a PEM
// file and expects a server of this name; an empty name expects the host that
// is dialled.
func ClientConfig(caFile, serverName string) (*tls.Config, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("load trusted certificates: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("load trusted certificates: none in %s", caFile)
	}
	return &tls.Config{RootCAs: roots, ServerName: serverName, MinVersion: tls.VersionTLS12}, nil
}
