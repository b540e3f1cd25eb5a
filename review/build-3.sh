#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# review/standin-3/bin, which is not part of the repository.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p standin-3/bin
for source in standin-3/*.cc; do
  g++ -std=c++20 -O1 -pthread -o "standin-3/bin/$(basename "$source" .cc)" "$source"
done
