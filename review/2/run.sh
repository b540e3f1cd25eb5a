#!/usr/bin/env bash
# Hundreds of changes to a large configuration, on control hosts whose files
# can't grow beyond the 128 MB of disk that the site file gives them. Exit: 1
# broken, 0 held, 2 couldn't run.
. "$(dirname "$0")/../lab.sh"
DISK_KB=131072
deploy 5 3
"$bin/cases" many-changes
code=$?
{
  echo "Log events of the control hosts that name the disk:"
  grep -hE 'event=(disk_failed|disk_stalled|disk_regained|snapshot_)' \
    "$folder"/*.log | head -40
  echo "Bytes in the data folders:"
  du -sb "$folder"/data-* | cut -f1
} | sed "s#$folder#FOLDER#g" >>"$RECORD"
exit "$code"
