#!/usr/bin/env bash
# Builds the stand-ins of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[1-5]; do
  if [ -f "$dir/main.go" ]; then
    go build -o "target/review-$(basename "$dir")" "./$dir"
  fi
done
