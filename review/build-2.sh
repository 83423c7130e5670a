#!/bin/sh
# Builds the stand-ins of the second review into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/second"
go build -o ../../target/review-second .
