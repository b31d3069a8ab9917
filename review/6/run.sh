#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/memory ] && [ -x target/release/canvascart-proxy ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec target/review-2/memory "$here"
