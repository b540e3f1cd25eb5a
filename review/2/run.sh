#!/usr/bin/env bash
. "$(dirname "$0")/../lab.sh"
deploy 3 3
"$bin/cases" late-order
exit $?
