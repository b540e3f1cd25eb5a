#!/usr/bin/env bash
. "$(dirname "$0")/../lab.sh"
deploy 5 ${E:-15}
export ATTEMPTS=${ATTEMPTS:-1} THREADS=${THREADS:-400} RATE=${RATE:-600} SLOTS=${SLOTS:-3} QUEUE=${QUEUE:-12} WORK=${WORK:-15} WINDOWS=${WINDOWS:-3}
"$bin/cases" late-copies
exit $?
