#!/bin/sh
# Makes target/firstair.jsa, the classes that a relay loads: with it a start costs 0.3 s of CPU less. A relay serves
# without it as well, so a failure here ends nothing.
cd "$(dirname "$0")/.."
rm -f target/firstair.jsa
java -Xshare:auto deploy/Practice.java target/firstair.jar target/firstair.jsa > target/archive.log 2>&1 \
    || echo "no archive of classes, see target/archive.log" >&2
exit 0
