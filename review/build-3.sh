#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and above. The build of the deploy file comes
# before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/stand3
