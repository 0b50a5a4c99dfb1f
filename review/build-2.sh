#!/usr/bin/env bash
# Builds the stand-ins of the second review and the program of each of its
# cases into target/review-2. Needs g++ and Boost, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Ireview/standins-2)
for part in http fleet; do
  g++ "${flags[@]}" -c "review/standins-2/$part.cc" -o "$out/$part.o" &
done
wait
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out/http.o" "$out/fleet.o" \
    -o "$out/case-$number" -lboost_json -pthread &
done
wait
