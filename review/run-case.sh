#!/usr/bin/env bash
# Plays a case of the review against the programs in target/:
#   run-case.sh CASE FOLDER
# Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$review/.." && pwd)
if [ ! -x "$root/target/review/cases" ] ||
  [ ! -x "$root/target/src/quetzalline" ]; then
  echo "build the deploy file, then run review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
clean_up() {
  # Ends what the case has left, which is nothing unless it was broken off.
  if [ -f "$work/pids" ]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$work/pids"
  fi
  rm -rf "$work"
}
trap clean_up EXIT
timeout 118 "$root/target/review/cases" "$1" "$root" "$2/record.txt" "$work" \
  "${TROUBLE:-1}"
status=$?
if [ $status -gt 1 ]; then status=2; fi
exit $status
