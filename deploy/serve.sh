#!/bin/sh
# Starts the real proxy with caps that follow from the memory limit which the configuration states.
m=$(sed -n 's/.*"memory_mb" *: *\([0-9][0-9]*\).*/\1/p' "$LB_CONFIG" | head -n 1)
m=${m:-128}
[ "$m" -le 192 ] || m=192
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xss256k \
  -Xms$((m / 8))m -Xmx$((m / 3))m -XX:MaxDirectMemorySize=$((m / 12))m \
  -XX:MaxMetaspaceSize=$((m / 8 + 12))m -XX:ReservedCodeCacheSize=$((m / 8))m \
  -jar target/brassbank.jar serve
