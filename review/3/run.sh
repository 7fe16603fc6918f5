#!/bin/sh
# Plays the case against the program as it was built: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
case=$(basename "$PWD")
[ -f "../target/review/Case$case.class" ] || sh ../build.sh || exit 2
[ -f ../../target/firstair.jar ] || { echo "target/firstair.jar is missing" >&2; exit 2; }
exec java -Xmx256m -cp ../target "review.Case$case" "$PWD"
