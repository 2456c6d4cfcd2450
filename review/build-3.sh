#!/usr/bin/env bash
# Builds the stand-ins and the driver of review/11 to review/15.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B target/review-3
cmake --build target/review-3 -j6
