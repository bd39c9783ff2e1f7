#!/usr/bin/env bash
# Makes src/generated from proto/wire.proto; only needed after a change of the messages.
set -eu
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=src/generated --grpc_out=src/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/wire.proto
