package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/settings"
	"github.com/chivefield/chivefield/standin"
)

// certificate writes a self-signed certificate for loopback and its key.
func certificate(t *testing.T) (cert, key string) {
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	cert, key = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return cert, key
}

// TestPeersOverTLS checks that two VMs with certificates connect over TLS, for
// watches and exchanges, and shut down cleanly. It failed once under the race
// detector: two transports shared one TLS configuration, which each of them
// modifies.
func TestPeersOverTLS(t *testing.T) {
	is := is.New(t)
	cert, key := certificate(t)
	listeners := map[string]net.Listener{}
	listen := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[l.Addr().String()] = l
		return l.Addr().String()
	}
	platform := listen()
	server := &http.Server{Handler: (&standin.Platform{}).Handler(), ReadHeaderTimeout: time.Minute}
	l := listeners[platform]
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	peers := []string{listen(), listen()}
	var vms []*Daemon
	for i := range 2 {
		set, err := settings.Parse(fmt.Appendf(nil, `
vm = {id = %d, failure_domain = "a"}
listen = {callers = %q, peers = %q, operators = %q}
platform = {address = %q}
keys = {peer = %q, operator = %q}
tls = {certificate_file = %q, key_file = %q, authority_file = %q}
peers = [{id = %d, failure_domain = "a", address = %q}]
`, i+1, listen(), peers[i], listen(), platform, testPeerKey, testOperatorKey, cert, key, cert, 2-i, peers[1-i]))
		is.NoErr(err)
		vms = append(vms, New(Options{Settings: set, Log: logging.New(io.Discard), Listen: func(a string) (net.Listener, error) { return listeners[a], nil }}))
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, len(vms))
	for _, d := range vms {
		go func() { done <- d.Run(ctx) }()
	}
	for _, d := range vms {
		for d.status.Load().Claims.Members != 1 {
			time.Sleep(time.Millisecond)
		}
	}
	stop()
	for range vms {
		is.NoErr(<-done)
	}
}
