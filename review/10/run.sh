#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
FOLDER=$(mktemp -d)
. "$HERE/../standin-2/cells.sh"
trap stop_all EXIT
trap 'kill "$CASE"; exit 2' TERM INT
start_cell
timeout 110 "$STANDINS/ends" "$NET" "${TROUBLE:-1}" "$HERE/record.txt" &
CASE=$!
wait "$CASE"
STATUS=$?
[ "$STATUS" -gt 1 ] && STATUS=2
exit "$STATUS"
