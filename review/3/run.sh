#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
[ -f "$here/../target/Stand.class" ] || sh "$here/../build.sh" || exit 2
timeout -k 5 112 java -Xmx256m -cp "$here/../target" BanNow "$here/../.." "$here"
status=$?
[ $status -le 2 ] || status=2
exit $status
