#!/usr/bin/env bash
# Plays the case once; see claim.txt. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/$(basename "$(dirname "$(readlink -f "$0")")")
scene=target/review/scene-${case_dir##*/}
[ -x "$scene" ] && [ -x target/lagoonpoint ] || exit 2
timeout 118 "$scene" "$case_dir/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
