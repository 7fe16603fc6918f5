#!/bin/sh
# Runs one case: review/run-2.sh FOLDER CLASS. Status 0: the rule held, 1: it was broken, 2: the case could not run.
set -u
cd "$(dirname "$0")/.."
if [ ! -f target/firstair.jar ] || [ ! -f "target/review-2/$2.class" ]; then
    echo "not built: the build of deploy/balancer.toml and review/build-2.sh come first" >&2
    exit 2
fi
java -cp target/review-2 "$2" "review/$1"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
