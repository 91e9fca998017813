# Sends signals for the lab, which Java itself cannot, and knows which processes are the lab's. When
# the lab ends in whatever way, the pipe it speaks through ends: all that is left is killed, and the
# folder removed. A terminal's Ctrl-C comes here too, and must not end it before that.
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
