#!/usr/bin/env bash
# Regenerates the committed code of the protocols between boxes. Needs protoc.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
for proto in $(git ls-files --cached --others --exclude-standard '*.proto'); do
	PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative "$proto"
done
