#!/usr/bin/env bash
# Compiles the stand-ins and the tests of the cases against the jar that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -cp ../target/fennelthread.jar -d target standins/*.java [0-9]/*.java
