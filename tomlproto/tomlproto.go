// Package tomlproto decodes TOML into the protobuf messages of the schema. Keys
// that the schema does not define are rejected with their full path.
package tomlproto

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/chivefield/chivefield/config"
)

// Decode decodes TOML into m and returns every fault found.
func Decode(data []byte, m proto.Message) []config.Fault {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return []config.Fault{syntaxFault(err)}
	}
	if faults := unknownKeys(tree, m.ProtoReflect().Descriptor(), ""); len(faults) > 0 {
		return faults
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return []config.Fault{{Path: "document", Problem: err.Error()}}
	}
	if err := protojson.Unmarshal(raw, m); err != nil {
		return []config.Fault{{Path: "document", Problem: err.Error()}}
	}
	return nil
}

func syntaxFault(err error) config.Fault {
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return config.Fault{Path: fmt.Sprintf("line %d, column %d", row, col), Problem: de.Error()}
	}
	return config.Fault{Path: "document", Problem: err.Error()}
}

// unknownKeys walks the TOML tree along the message descriptor and returns a fault
// for each key that the schema does not define.
func unknownKeys(tree map[string]any, d protoreflect.MessageDescriptor, prefix string) []config.Fault {
	var faults []config.Fault
	keys := make([]string, 0, len(tree))
	for k := range tree {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		path := prefix + k
		fd := d.Fields().ByName(protoreflect.Name(k))
		if fd == nil {
			faults = append(faults, config.Fault{Path: path, Problem: "is not a known key"})
			continue
		}
		faults = append(faults, unknownNestedKeys(tree[k], fd, path)...)
	}
	return faults
}

func unknownNestedKeys(v any, fd protoreflect.FieldDescriptor, path string) []config.Fault {
	if fd.Message() == nil {
		return nil
	}
	switch v := v.(type) {
	case map[string]any:
		return unknownKeys(v, fd.Message(), path+".")
	case []any:
		var faults []config.Fault
		for i, e := range v {
			if t, ok := e.(map[string]any); ok {
				faults = append(faults, unknownKeys(t, fd.Message(), fmt.Sprintf("%s[%d].", path, i))...)
			}
		}
		return faults
	}
	return []config.Fault{{Path: path, Problem: "must be a table"}}
}
