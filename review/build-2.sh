#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into
# review/bin-2/. It needs the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=review/bin-2
mkdir -p "$out/objects"
echo '*' > "$out/.gitignore"
flags="-std=c++20 -O1 -fcoroutines -Wno-mismatched-new-delete -Iplatform/src
  -Iplatform/include -Iplatform/standin/include"
for library in base base64 batch http; do
  flags="$flags -Ilibs/$library/include"
done
sources="review/standin-2/*.cc platform/standin/src/store.cpp
  platform/standin/src/callers.cpp platform/standin/src/advisor.cpp libs/base/src/*.cpp libs/base64/src/*.cpp
  libs/http/src/*.cpp"
jobs=""
for source in $sources; do
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$out/objects/$(basename "$source" | tr . _).o" &
  jobs="$jobs $!"
done
for job in $jobs; do
  wait "$job"
done
g++ "$out"/objects/*.o -o "$out/play" -lcrypto -lpthread
