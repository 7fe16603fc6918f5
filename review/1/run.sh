#!/bin/sh
# Plays the case against the program as it was built: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" || exit 2
case=$(basename "$PWD")
rm -f record.txt
[ -f ../../target/firstair.jar ] || { echo "target/firstair.jar is missing: build first" >&2; exit 2; }
[ -f "../target/review/Case$case.class" ] || sh ../build.sh || exit 2
home=$(mktemp -d) || exit 2
# Ends what the case has left, if it was cut off itself, and removes the temporary folder.
clean() {
    for pid in $(cat "$home/pids" 2>/dev/null); do
        if [ -r "/proc/$pid/cmdline" ] && tr "\\0" " " < "/proc/$pid/cmdline" 2>/dev/null | grep -q "firstair.jar"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$home"
}
java -Xmx256m -Dreview.home="$home" -cp ../target "review.Case$case" "$PWD" &
play=$!
trap 'kill "$play" 2>/dev/null; wait "$play"; clean; exit 2' HUP INT TERM
wait "$play"
status=$?
clean
# Only the case itself says 0 or 1, in its last line: a Java that could not start ends with 1, too.
grep -q "  exit $status: " record.txt 2>/dev/null || status=2
exit "$status"
