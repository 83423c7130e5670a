#!/bin/bash
# Builds the programs that the scripts of the third review start.
set -e
cd "$(dirname "$0")/third"
go build -o .bin/ ./cmd/...
