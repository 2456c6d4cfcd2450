#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p bin/objects
for source in standin/*.cc; do
  g++ -std=c++20 -O1 -fcoroutines -Wall -Wextra -Wno-mismatched-new-delete \
    -c "$source" -o "bin/objects/$(basename "$source" .cc).o" &
  jobs="${jobs:-} $!"
done
for job in $jobs; do
  wait "$job"
done
g++ bin/objects/*.o -o bin/play -lpthread
