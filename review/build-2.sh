#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK and no network; the proxy is built by
# `build` of the deploy file.
cd "$(dirname "$0")/rig2" || exit 2
rm -rf out
exec javac -Xlint:-options -d out ./*.java
