#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x review/bin-2/play ] || [ ! -x target/bin/cicada_cell ]; then
  echo "build the daemon with the deploy file, then run review/build-2.sh" >&2
  exit 2
fi
exec review/bin-2/play hopeless review/9 target/bin/cicada_cell
