package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/logservice"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/settings"
	"github.com/chivefield/chivefield/tomlproto"
)

// operatorFlags holds the address and key of a daemon's operator listener.
type operatorFlags struct {
	Address string `long:"address" description:"Operator address of a VM" required:"yes"`
	Key     string `long:"key" env:"CHIVEFIELD_OPERATOR_KEY" description:"Operator key" required:"yes"`
}

// StatusError reports an error response of a daemon.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

const callTimeout = 15 * time.Second

// callAndPrint calls a daemon and prints its response.
func (o *operatorFlags) callAndPrint(method, path string, body []byte) error {
	out, err := o.fetch(method, path, body)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}

// fetch calls a daemon and returns the body of its response. The error is a StatusError for
// a status of 400 or higher.
func (o *operatorFlags) fetch(method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, &StatusError{Status: resp.StatusCode, Body: string(out)}
	}
	return out, nil
}

type statusCommand struct{ operatorFlags }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return c.callAndPrint(http.MethodGet, "/status", nil)
}

type drainCommand struct{ operatorFlags }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error { return c.callAndPrint(http.MethodPost, "/drain", nil) }

type configCommand struct {
	Submit submitCommand `command:"submit" description:"Submit a document (TOML); prints accepted, refused or unknown"`
	Show   showCommand   `command:"show" description:"Print the current configuration of a VM"`
}

type submitCommand struct {
	operatorFlags
	Args struct {
		Document string `positional-arg-name:"DOCUMENT"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.Document)
	if err != nil {
		return err
	}
	return c.callAndPrint(http.MethodPost, "/config", data)
}

type showCommand struct{ operatorFlags }

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error { return c.callAndPrint(http.MethodGet, "/config", nil) }

type checkCommand struct {
	Args struct {
		What string `positional-arg-name:"settings|config" choice:"settings" choice:"config"`
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if err := check(c.Args.What, data); err != nil {
		return err
	}
	fmt.Println(c.Args.File + ": ok")
	return nil
}

// UnknownCheckError reports that the first argument of check is neither settings nor config.
type UnknownCheckError struct{ Name string }

// Error implements error.
func (e *UnknownCheckError) Error() string { return "expected settings or config, got " + e.Name }

func check(what string, data []byte) error {
	switch what {
	case "settings":
		_, err := settings.Parse(data)
		return err
	case "config":
		d := &schema.Document{}
		faults := tomlproto.Decode(data, d)
		if len(faults) == 0 {
			faults = config.Check(d)
		}
		if len(faults) > 0 {
			return &config.FaultsError{Faults: faults}
		}
		return nil
	}
	return &UnknownCheckError{Name: what}
}

type auditCommand struct {
	Platform string `long:"platform" description:"Address of the platform" required:"yes"`
}

// auditLine is the JSON form of one configuration change.
type auditLine struct {
	Offset    uint64   `json:"offset"`
	At        string   `json:"at"`
	Author    string   `json:"author"`
	Comment   string   `json:"comment,omitempty"`
	Base      uint64   `json:"base"`
	Judgement string   `json:"judgement"`
	Version   uint64   `json:"version"`
	Changed   []string `json:"changed,omitempty"`
	Faults    []string `json:"faults,omitempty"`
}

// auditBatch is the number of log records per read.
const auditBatch = 256

// Execute implements flags.Commander. It evaluates the log by the same rules as every VM.
func (c *auditCommand) Execute([]string) error {
	client := &logservice.Client{BaseURL: "http://" + c.Platform, HTTP: http.DefaultClient}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	trail := config.NewAuditTrail()
	var next uint64
	for {
		b, err := client.Read(ctx, next, auditBatch)
		if err != nil {
			return err
		}
		trail.SetLogStart(b.First)
		for _, r := range b.Records {
			rec, err := config.Decode(r.Data)
			if err != nil {
				return err
			}
			for _, l := range trail.Apply(r.Offset, rec) {
				printAuditLine(l)
			}
			next = r.Offset + 1
		}
		if next >= b.Next {
			return nil
		}
	}
}

func printAuditLine(l config.AuditEntry) {
	out := auditLine{
		Offset: l.Offset, At: time.UnixMilli(l.UnixMs).UTC().Format(time.RFC3339), Author: l.Author, Comment: l.Comment,
		Base: l.Base, Judgement: string(l.Judgement), Version: l.Version, Changed: l.Changed,
	}
	for _, f := range l.Faults {
		out.Faults = append(out.Faults, f.String())
	}
	data, _ := json.Marshal(out)
	fmt.Println(string(data))
}
