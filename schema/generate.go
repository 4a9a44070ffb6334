// Package schema holds the messages between processes, the settings of a
// daemon and the configuration document. The .proto files are the source; the
// generated code is committed, so that a build needs no generator.
package schema

//go:generate ./generate.sh
