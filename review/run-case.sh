#!/bin/sh
# Runs the program of a case: run-case.sh PROGRAM RECORD, which writes RECORD. Ends with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
program="target/review/release/$1"
if [ ! -x "$program" ] || [ ! -x "${run%% *}" ]; then
    echo "build first: the build command of deploy/service.toml, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
end() {
    # Controllers that are left, should the program have ended early: by their ids, and only if they are
    # still those that it started.
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        if [ -r "/proc/$pid/cmdline" ] && grep -qF "$folder/" "/proc/$pid/cmdline"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 1 118 "$program" "$run" "$2" "$folder"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
