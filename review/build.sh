#!/bin/sh
# Builds the program that runs the cases, with all stand-ins. It needs the Go toolchain only.
set -e
cd "$(dirname "$0")"
go build -buildvcs=false -o .bin/case ./cmd/case
