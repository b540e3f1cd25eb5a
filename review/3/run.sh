#!/usr/bin/env bash
# An order of the operator that waits at a frozen control host is carried out
# when that host goes on. Exit: 1 broken, 0 held, 2 couldn't run.
. "$(dirname "$0")/../lab.sh"
deploy 5 6
"$bin/cases" late-order
exit $?
