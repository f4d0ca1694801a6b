#!/usr/bin/env bash
# Exits with 1 if an old config was in force too long, 0 if not, 2 if
# the case could not run. TROUBLE=0 leaves out the silent connections. Run deploy/build and
# review/build-2.sh first.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -e target/review-2/r2/R2StaleProof.class ] || exit 2
java=$(bin/java-home)/bin/java || exit 2
exec timeout -s TERM 115 "$java" -cp 'target/review-2:target/lib/*' r2.R2StaleProof "$folder"
