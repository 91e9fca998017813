# Watchdog of the lab: sends signals for it, which Java itself cannot, and tracks its processes. When
# the lab ends in any way, its pipe to this script ends as well: the script then kills the remaining
# processes and removes the folder. A terminal's Ctrl-C reaches this script too, and must not end it
# before that.
trap '' INT HUP TERM
left=
while read -r word id; do
  case $word in
    add) left="$left $id" ;;
    drop)
      kept=
      for one in $left; do [ "$one" = "$id" ] || kept="$kept $one"; done
      left=$kept
      ;;
    *) kill "-$word" "$id" 2>/dev/null ;;
  esac
done
for one in $left; do kill -KILL "$one" 2>/dev/null; done
rm -rf "$1"
