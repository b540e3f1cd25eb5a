#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
top="$(cd "$here/../.." && pwd)"
program="$here/../standin-3/bin/quota_kill"
if [ ! -x "$program" ] || [ ! -x "$top/target/hibiscusspool" ]; then
  echo "run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
timeout -k 5 115 "$program" "$top" "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
