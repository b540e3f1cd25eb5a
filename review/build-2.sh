#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into review/bin-2.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin-2
echo '*' >bin-2/.gitignore
g++ -std=c++20 -O2 -Wall -Wextra -pthread standin-2/cases.cc -o bin-2/cases
