#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. Needs Go only.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="-buildvcs=false" go build -o ../target/review-standin ./standin
