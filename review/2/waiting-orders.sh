#!/bin/sh
# Shows the entry of KNOWN-RED.txt on azurelb_soak seed 7301 (issue 18): an executor that is at work
# restarts under its id while start orders wait for its connection. Exit codes as run.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurelb_platformd ] && [ -x target/review/review_standin ] || exit 2
folder=$(mktemp -d) || exit 2
target/review/review_standin waiting-orders target/azurelb_platformd "$folder" review/2/waiting-orders-record.txt
status=$?
rm -rf "$folder"
exit $status
