#!/usr/bin/env bash
# A request that crashes the servers that run it comes again and again. Exit: 1
# broken, 0 held, 2 couldn't run.
. "$(dirname "$0")/../lab.sh"
deploy 5 6
"$bin/cases" crashing-request
exit $?
