#!/usr/bin/env bash
. "$(dirname "$0")/../lab.sh"
deploy 3 3
THREADS=250 RATE=260 "$bin/cases" late-copies
exit $?
