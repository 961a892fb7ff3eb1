#!/bin/sh
# Runs this case; TROUBLE=0 runs it without the disruption. 1: the rule was broken, 0: it held, 2: it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x "target/review/case-$(basename "$folder")" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "target/review/case-$(basename "$folder")" "$folder"
