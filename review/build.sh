#!/bin/sh
# Compiles the stand-ins of the cases; nothing but the JDK is needed.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -Xlint:all -d target standin/review/*.java
