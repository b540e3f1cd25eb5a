#!/usr/bin/env bash
# Servers of a zone come back cold. Exit: 1
# broken, 0 held, 2 couldn't run.
. "$(dirname "$0")/../lab.sh"
deploy 5 6
"$bin/cases" cold-return
exit $?
