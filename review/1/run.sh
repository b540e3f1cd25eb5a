#!/usr/bin/env bash
# Requests that aren't idempotent, at servers that are full at times and whose
# answers are doubled, late. Exit: 1 broken, 0 held, 2 couldn't run.
. "$(dirname "$0")/../lab.sh"
zones=(asahikawa-a sapporo-b obihiro-c)
deploy 5 17
"$bin/cases" late-copies
exit $?
