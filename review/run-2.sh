#!/bin/sh
# Runs one case: review/run-2.sh FOLDER CLASS. Status 0: the rule held, 1: it was broken, 2: the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/firstair.jar ] || [ ! -f "target/review-2/$2.class" ]; then
    echo "not built: the build of deploy/balancer.toml and review/build-2.sh come first" >&2
    exit 2
fi
pids=$(mktemp) || exit 2
java "-Dreview.pids=$pids" -cp target/review-2 "$2" "review/$1" &
case_pid=$!
trap 'kill "$case_pid"' TERM INT HUP # it ends its relays
wait "$case_pid"
status=$?
trap - TERM INT HUP
wait "$case_pid" 2> /dev/null # where a signal has ended the first wait
# Relays that are left where the case was killed outright.
while read -r pid; do
    if tr '\0' ' ' 2> /dev/null < "/proc/$pid/cmdline" | grep -q target/firstair.jar; then
        kill -KILL "$pid"
    fi
done < "$pids"
rm -f "$pids"
# Statuses of their own, which a virtual machine that does not start cannot have.
case $status in
20) exit 0 ;;
21) exit 1 ;;
*) exit 2 ;;
esac
