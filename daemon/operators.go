package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/net/netutil"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/tomlproto"
)

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.status.Load()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	mux.HandleFunc("GET /config", d.serveConfig)
	mux.HandleFunc("POST /config", d.submitConfig)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		d.push(r.Context(), core.Drain{})
		writeJSON(w, http.StatusAccepted, struct{}{})
	})
	return requireKey(d.settings.Keys.Operator, mux)
}

// configView is the JSON form of the current configuration.
type configView struct {
	Version  uint64
	Document string
}

func (d *Daemon) serveConfig(w http.ResponseWriter, _ *http.Request) {
	rules := d.rules.Load()
	if rules == nil {
		writeError(w, http.StatusServiceUnavailable, "not_ready", d.status.Load().Why)
		return
	}
	writeJSON(w, http.StatusOK, configView{Version: rules.Version, Document: protojson.Format(rules.Document)})
}

// SubmitResult reports to an operator how a submitted document was judged.
type SubmitResult struct {
	// Verdict is accepted, stale_base, invalid or unknown.
	Verdict string   `json:"verdict"`
	Version uint64   `json:"version,omitempty"`
	Faults  []string `json:"faults,omitempty"`
	// AppendID identifies the record in the audit trail if the verdict is
	// unknown.
	AppendID string `json:"append_id"`
}

const (
	maxDocumentBytes = 8 << 20
	// verdictTimeout is how long a submitter waits for the verdict on its
	// document.
	verdictTimeout = 5 * time.Second
	unknownVerdict = "unknown"
	// notAppendedVerdict is for a document that was not sent to the log.
	notAppendedVerdict = "not_appended"
)

// submitConfig appends a document to the log and waits until it has been judged
// in the log's order. If the response to the append is lost, reading the log
// still yields the verdict; if that takes too long, the verdict is unknown.
func (d *Daemon) submitConfig(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", "the document could not be read")
		return
	}
	doc := &schema.Document{}
	faults := tomlproto.Decode(data, doc)
	if len(faults) == 0 {
		faults = config.Check(doc)
	}
	sub := SubmitResult{AppendID: newAppendID()}
	if len(faults) > 0 {
		sub.Verdict = string(config.Invalid)
		sub.Faults = faultTexts(faults)
		writeJSON(w, http.StatusUnprocessableEntity, sub)
		return
	}
	d.appendAndWait(r.Context(), doc, &sub)
	status := http.StatusOK
	switch sub.Verdict {
	case string(config.Accepted):
	case notAppendedVerdict:
		status = http.StatusServiceUnavailable
	case unknownVerdict:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusConflict
	}
	writeJSON(w, status, sub)
}

func (d *Daemon) appendAndWait(ctx context.Context, doc *schema.Document, sub *SubmitResult) {
	verdict := d.verdicts.register(sub.AppendID)
	defer d.verdicts.remove(sub.AppendID)
	rec := &schema.LogRecord{AppendId: sub.AppendID, Author: doc.Author, Body: &schema.LogRecord_Document{Document: doc}}
	done := make(chan error, 1)
	d.queueAppend(&appendJob{record: rec, done: done})
	bound, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	for {
		select {
		case err := <-done:
			var full *QueueFullError
			if errors.As(err, &full) {
				sub.Verdict = notAppendedVerdict
				return
			}
			// Any other error leaves open whether the log has the document.
			done = nil
		case v := <-verdict:
			sub.Verdict, sub.Version, sub.Faults = string(v.Judgement), v.Version, faultTexts(v.Faults)
			return
		case <-bound.Done():
			sub.Verdict = unknownVerdict
			return
		}
	}
}

func faultTexts(faults []config.Fault) []string {
	var list []string
	for _, f := range faults {
		list = append(list, f.String())
	}
	return list
}

// listen opens a listener, with TLS if the settings name a certificate.
func (d *Daemon) listen(addr string) (net.Listener, error) {
	l, err := d.opts.Listen(addr)
	if err != nil {
		return nil, &ListenError{Address: addr, Err: err}
	}
	l = netutil.LimitListener(l, int(d.settings.Limits.MaxConnections))
	if d.settings.Tls.CertificateFile == "" {
		return l, nil
	}
	cert, err := tls.LoadX509KeyPair(d.settings.Tls.CertificateFile, d.settings.Tls.KeyFile)
	if err != nil {
		return nil, &TLSError{Err: err}
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}), nil
}

// peerTLSConfig returns the TLS configuration that verifies peers'
// certificates, nil without an authority file.
func (d *Daemon) peerTLSConfig() (*tls.Config, error) {
	if d.settings.Tls.AuthorityFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(d.settings.Tls.AuthorityFile)
	if err != nil {
		return nil, &TLSError{Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &TLSError{Err: &NoCertificateError{Path: d.settings.Tls.AuthorityFile}}
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: d.settings.ReadTimeout, IdleTimeout: d.settings.IdleTimeout,
		MaxHeaderBytes: int(d.settings.Limits.MaxHeaderBytes),
	}
}

// serve runs a server until ctx is done. It sets no write timeout because
// streams can last long.
func (d *Daemon) serve(ctx context.Context, l net.Listener, h http.Handler) *http.Server {
	s := d.newServer(h)
	d.group.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
	d.group.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	return s
}

// servePeers runs the peer server until the process exits. Only the kernel may
// close a watch, because peers take its end for the death of this process.
func (d *Daemon) servePeers(l net.Listener) {
	s := d.newServer(d.peerHandler())
	var both http.Protocols
	both.SetHTTP1(true)
	both.SetHTTP2(true)
	both.SetUnencryptedHTTP2(true)
	s.Protocols = &both
	l = countingListener{Listener: l, d: d}
	go func() { _ = s.Serve(l) }()
}
