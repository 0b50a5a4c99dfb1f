#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs the
# packages that the deploy file names and nothing else.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
out=$here/../target/review
mkdir -p "$out"
g++ -std=c++20 -O2 -fcoroutines -o "$out/cases" "$here/standin/cases.cc" \
  "$here/standin/platform.cc" -lboost_json -lpthread
