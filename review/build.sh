#!/usr/bin/env bash
# Builds the driver of the script cases with its stand-ins, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/driver
