#!/bin/sh
# Runs this case; see claim.txt. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
test -f ../stand-2/target/classes/HalfClose.class || { echo "build it with review/build-2.sh first" >&2; exit 2; }
exec java -cp ../stand-2/target/classes HalfClose .
