#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the project's own programs: one program with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2/driver2 ./review/driver2
