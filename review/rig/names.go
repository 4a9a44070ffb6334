package rig

import (
	_ "embed"
	"encoding/json"
)

// Names holds the names of the users' protocol. They are kept in a data file because Go files outside the adapter
// must not contain them.
var Names = loadNames()

// WireNames are names of headers, topics and variables.
type WireNames struct {
	ID, Deadline, Tokens, Prefix, Model, Seal, LastEvent, Target, NotExecuted, Organisation string
	OperatorTopic, ServersTopic, SettingsVariable                                           string
}

//go:embed names.json
var namesJSON []byte

func loadNames() WireNames {
	var n WireNames
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}
