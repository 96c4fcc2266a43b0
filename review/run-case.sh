#!/usr/bin/env bash
# Usage: run-case.sh CASE FOLDER. Runs a case of the stand-ins; FOLDER gets record.txt.
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
# With TROUBLE=0 the case runs without the disruption.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/ebonypass-gateway target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
temporary=$(mktemp -d) || exit 2
standin=
# Ends what is left if the stand-in itself has been ended before it could stop the gateways.
clean_up() {
    [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
    while read -r pid; do
        kill -KILL "$pid" 2>/dev/null
    done <"$temporary/pids"
    rm -rf "$temporary"
}
trap 'clean_up; exit 2' INT TERM HUP
: >"$temporary/pids"
target/review/standin "$1" "$folder" "$temporary" &
standin=$!
wait "$standin"
status=$?
standin=
case $status in
0 | 1 | 2) rm -rf "$temporary" ;;
*)
    clean_up
    status=2
    ;;
esac
exit "$status"
