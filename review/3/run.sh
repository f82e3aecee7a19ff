#!/bin/sh
# Writes record.txt in this folder: what was sent, answered and run. Ends with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
: >"$here/record.txt" || exit 2
exec "$here/../run-case.sh" standstill "$here/record.txt"
