#!/usr/bin/env bash
# Regenerates the committed Go code of all .proto files. Requires only Go.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin" ./protogen ./protoout google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
for proto in $(git ls-files --cached --others --exclude-standard '*.proto'); do
	for generator in protoc-gen-go protoc-gen-go-grpc; do
		"$bin/protogen" "$proto" | "$bin/$generator" | "$bin/protoout"
	done
done
