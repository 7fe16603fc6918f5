#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the JDK alone, without a network: review/build-2.sh
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -encoding UTF-8 -d target/review-2 review/standin-2/*.java
