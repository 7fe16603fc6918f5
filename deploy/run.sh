#!/bin/sh
# Runs one relay within the memory that its configuration allows: sh deploy/run.sh -jar target/firstair.jar serve
set -eu
# Until the program has a handler, SIGHUP would end it, and a new configuration may cross a start. Ignored from here on,
# it ends nothing; the relay looks at its files for changes instead.
trap '' HUP
# limits.memory_mb of the file that ROUTER_CONFIG names; where it says nothing, the most that deployments have. Read by
# the shell alone: a relay may not be allowed to start other programs, and one that can't start is worse than a guess.
memory=
config=${ROUTER_CONFIG:-}
if [ -f "$config" ] && [ -r "$config" ]; then
    set -f
    while [ -z "$memory" ] && { IFS= read -r line || [ -n "$line" ]; }; do
        IFS='{},'
        for field in $line; do
            case $field in
            *'"memory_mb"'*:*)
                value=${field#*'"memory_mb"'}
                value=${value#"${value%%[![:space:]]*}"}
                case $value in :*) value=${value#:} ;; *) continue ;; esac
                value=${value#"${value%%[![:space:]]*}"}
                memory=${value%%[!0-9]*}
                ;;
            esac
        done
        unset IFS
    done < "$config"
    set +f
fi
# Classes, code, threads and buffers take 40 to 55 MB beside the heap, and a third of the rest stays free. What is held
# at the same time is a few MB; more heap than 80 MB would only delay collections.
heap=$(( (${memory:-192} - 72) * 2 / 3 ))
[ "$heap" -ge 24 ] || heap=24
[ "$heap" -le 80 ] || heap=80
# The heap is taken whole at the start, so that memory that runs short shows then and not after days. The archive of
# loaded classes is made by the build; without it, or with another Java, the start takes longer.
MALLOC_ARENA_MAX=1 exec java -XX:+UseSerialGC -Xms${heap}m -Xmx${heap}m -XX:+AlwaysPreTouch -Xss256k \
    -XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -XX:TieredStopAtLevel=1 \
    -XX:-UsePerfData -Xshare:auto -XX:SharedArchiveFile=target/firstair.jsa -Xlog:disable -Xlog:all=error:stderr \
    -XX:+ExitOnOutOfMemoryError "$@"
