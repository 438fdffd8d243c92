#!/usr/bin/env bash
# Regenerates internal/messenger. Needs protoc, protoc-gen-go v1.36.12 and
# protoc-gen-go-drpc v1.1.0; the result is committed, so a build needs none.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --go_out=. --go_opt=module=github.com/fireflymoor/fireflymoor \
  --go-drpc_out=. --go-drpc_opt=module=github.com/fireflymoor/fireflymoor \
  proto/messenger.proto
