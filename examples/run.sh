#!/bin/bash
# Starts the toy and a relay with examples/config.json; what the relay must not forget is in target/example-state.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/example-state
java examples/Toy.java &
toy=$!
trap 'kill "$toy" 2>/dev/null' EXIT
until (: < /dev/tcp/127.0.0.1/8500) 2>/dev/null; do
    kill -0 "$toy" # ends here if the toy could not start
    sleep 0.1
done
ROUTER_CONFIG=examples/config.json ROUTER_STATE=target/example-state \
    java -XX:+UseSerialGC -Xmx64m -jar target/firstair.jar serve
