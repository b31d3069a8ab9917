#!/bin/sh
# Case 3. Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/canvascart-proxy ]; then
    echo "build the deploy file and review/build.sh first"
    exit 2
fi
exec target/review/standin shutdown-upload review/3
