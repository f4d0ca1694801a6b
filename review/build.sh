#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review; run deploy/build first, for its libraries.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
JAVA_HOME=$(bin/java-home)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review -cp 'target/lib/*' review/lab/*.java review/?/*.java
cp review/lab/wire.properties target/review/
