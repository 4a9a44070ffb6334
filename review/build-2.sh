#!/bin/sh
# Builds the programs of the cases of the second review, which start the entry daemon and the stand-ins beside it.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review-$n" "./review/$n"
	fi
done
