#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand-ins ] || { echo "run review/build-3.sh first"; exit 2; }
[ -x target/release/samphiresill-router ] || { echo "build the router first"; exit 2; }
exec target/review-3/stand-ins new-service review/12
