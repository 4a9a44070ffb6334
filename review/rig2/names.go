package rig2

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// Names are the names of the platform that the cases use, from names.json.
var Names = struct {
	ID, Deadline, Tokens, Prefix, Model, Seal, LastEvent, Target, Instance, OperatorTopic, ServersTopic string
}{}

func init() {
	if err := json.Unmarshal(namesJSON, &Names); err != nil {
		Fatal(err)
	}
}
