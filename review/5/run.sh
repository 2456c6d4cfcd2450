#!/usr/bin/env bash
# Plays the case 'wide-gang'. Exits with 1 if the rule LOST was broken, 0 if it held,
# and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/play ] && [ -x target/bin/cicada_cell ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 review/bin/play wide-gang LOST "$here/record.txt" "$folder" \
  target/bin/cicada_cell "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
