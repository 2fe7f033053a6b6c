#!/bin/sh
# Runs the case; needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
n=$(basename "$dir")
[ -x target/release/mulberryspur-platform ] && [ -x "target/review/$n" ] || exit 2
exec "target/review/$n" "review/$n"
