#!/bin/sh
# Starts the proxy with JVM memory limits derived from the memory limit in the configuration.
# The arguments are those of `brassbank serve`; the platform passes none.
# Uses only shell built-ins up to the exec: where the platform forbids new processes, a command
# substitution would fail, and the limits, the archive or the whole start with it.
m=
while read -r line || [ -n "$line" ]; do
  case $line in
    *'"memory_mb"'*)
      m=${line#*'"memory_mb"'}
      m=${m#"${m%%[0-9]*}"}
      m=${m%%[!0-9]*}
      break
      ;;
  esac
done <"$LB_CONFIG"
m=${m:-128}
[ "$m" -le 192 ] || m=192
# During a handover two JVMs run at the same time and share the memory limit.
[ -z "$LB_LISTEN_FD" ] || m=$((m * 2 / 3))
# With less, the runtime refuses its options or stops compiling.
code_cache=$((m / 8))
[ $code_cache -ge 4 ] || code_cache=4
# The class-data archive that the build creates (deploy/archive.sh) halves the start time. The JVM
# rejects an archive made for another runtime or jar, but crashes on a damaged one. An archive that
# was modified after its checksum was taken is therefore not used.
archive=target/brassbank.jsa
if [ -s $archive ] && [ -s $archive.sum ] && ! [ $archive -nt $archive.sum ]; then
  # Mapped at its preferred address, the archive needs no relocation, which saves 8 MB of private
  # memory.
  mapped="-XX:SharedArchiveFile=$archive -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0"
else
  echo "no class-data archive, or a damaged one: the start takes longer (sh deploy/archive.sh)" >&2
  mapped=
fi
# A process whose heap is exhausted ends at once with status 3. The runtime writes the reason to
# standard error, where the log is.
exec java -XX:+ExitOnOutOfMemoryError -XX:+DisplayVMOutputToStderr -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xss256k \
  -Xms$((m / 8))m -Xmx$((m / 3))m -XX:MaxDirectMemorySize=$((m / 12))m \
  -XX:MaxMetaspaceSize=$((m / 8 + 12))m -XX:ReservedCodeCacheSize=${code_cache}m \
  $mapped -jar target/brassbank.jar serve "$@"
