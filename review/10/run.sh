#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=target/review/drive-$(basename "$here")
[ -x "$driver" ] && [ -x target/lagoonpoint ] || exit 2
timeout -k 2 117 "$driver" "$here"
code=$?
[ $code -le 2 ] || code=2
exit $code
