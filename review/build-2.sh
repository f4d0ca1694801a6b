#!/usr/bin/env bash
# Compiles the stand-ins and scripted cases of the second review into target/review-2; run
# deploy/build first, for its libraries.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
JAVA_HOME=$(bin/java-home)
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
"$JAVA_HOME/bin/javac" -d target/review-2 -cp 'target/lib/*' review/[6-9]/*.java review/10/*.java
cp review/6/wire-2.properties target/review-2/
