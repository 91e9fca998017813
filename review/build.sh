#!/bin/sh
# Builds the stand-ins and the drivers of the cases. The proxy itself is built by `build` of the
# deploy file.
cd "$(dirname "$0")" || exit 2
rm -rf classes
mkdir -p classes || exit 2
set -- rig/*.java
for file in [0-9]/*.java; do
  [ -e "$file" ] && set -- "$@" "$file"
done
exec javac -encoding UTF-8 --release 17 -d classes "$@"
