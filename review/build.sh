#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O2 -Wall -Wextra -pthread standin/cases.cc -o bin/cases
