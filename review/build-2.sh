#!/bin/sh
# Builds the stand-ins and the checks of the cases 6 to 10. Needs only a JDK 17; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/harness-2/*.java
