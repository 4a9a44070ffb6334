// Package schema defines the messages between processes, the settings of the daemons and the
// configuration document. The code generated from the .proto files is committed, so that building
// does not require the generators.
package schema

//go:generate ./generate.sh
