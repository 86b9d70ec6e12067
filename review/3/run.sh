#!/usr/bin/env bash
# Runs the case on loopback: 1 = rule broken, 0 = held, 2 = could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/bin/case-$(basename "$here")
[ -x "$program" ] && [ -x target/lagoonpoint ] || exit 2
exec timeout -s KILL 110 "$program" "$here"
