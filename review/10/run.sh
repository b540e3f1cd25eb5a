#!/usr/bin/env bash
# A configuration names a shard twice, and servers lose answers.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
top="$(cd "$here/../.." && pwd)"
[ -x "$top/target/hibiscusspool" ] && [ -x "$top/review/bin-2/cases" ] || {
  echo "build first: the deploy file's build, then review/build-2.sh"
  exit 2
}
exec "$top/review/bin-2/cases" shard-twice "$top" "$here/record.txt"
