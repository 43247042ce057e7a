#!/bin/sh
# Builds the stand-ins and the cases; needs a JDK 17 and nothing else.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target harness/*.java
