#!/bin/sh
# Starts the real proxy with caps that follow from the memory limit which the configuration states.
# Its arguments are those of `brassbank serve`; the platform gives none.
# Only the shell's own commands, up to the exec: where starting programs is refused, a substitution
# fails, and with it the caps, the archive or the whole start would be lost.
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
# In an upgrade two runtimes stand beside each other within the one limit.
[ -z "$LB_LISTEN_FD" ] || m=$((m * 2 / 3))
# The class-data archive that the build makes (deploy/archive.sh) saves half of the start. The
# runtime itself turns one away that another runtime or jar has made, but it dies of a damaged one:
# one that was written to after its checksum was taken is not used.
archive=target/brassbank.jsa
if [ -s $archive ] && [ -s $archive.sum ] && ! [ $archive -nt $archive.sum ]; then
  # Mapped where it was made for, its pages need no patching: 8 MB less of memory of its own.
  mapped="-XX:SharedArchiveFile=$archive -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0"
else
  echo "no class-data archive, or a damaged one: the start takes longer (sh deploy/archive.sh)" >&2
  mapped=
fi
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xss256k \
  -Xms$((m / 8))m -Xmx$((m / 3))m -XX:MaxDirectMemorySize=$((m / 12))m \
  -XX:MaxMetaspaceSize=$((m / 8 + 12))m -XX:ReservedCodeCacheSize=$((m / 8))m \
  $mapped -jar target/brassbank.jar serve "$@"
