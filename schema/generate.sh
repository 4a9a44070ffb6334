#!/usr/bin/env bash
# Generates the Go code of this folder's .proto files into the folder $1 (here by default).
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-.}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
protoc --plugin="$bin/protoc-gen-go" --plugin="$bin/protoc-gen-twirp" \
  --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative ./*.proto
