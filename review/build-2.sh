#!/usr/bin/env bash
# Builds all stand-ins that review/4 to review/8 start, into target/review-2. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standins-2/*.java
