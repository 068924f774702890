head -c 1100000 /dev/zero | tr "\0" " " >"$T/long.json"; cd "$T" && cf answers check long.json
