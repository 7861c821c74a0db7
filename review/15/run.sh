#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/azurelb_platformd" ] && [ -x "$root/target/review-3/standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
AZURELB_PLATFORMD=$root/target/azurelb_platformd \
    timeout 115 "$root/target/review-3/standin" cancelled-before-frozen-submission "$folder"
status=$?
cp "$folder/record.txt" record.txt || exit 2
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
