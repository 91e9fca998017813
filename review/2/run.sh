#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. What was sent,
# answered and run is written to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
record=$here/record.txt
: >"$record" || exit 2
if ! [ -e "$here/../classes/MoveInMidLine.class" ]; then
  echo "could not run: review/build.sh has to come first" | tee "$record" >&2
  exit 2
fi
exec java -XX:+UseSerialGC -Xss256k -Xmx512m -cp "$here/../classes" MoveInMidLine "$root" "$record"
