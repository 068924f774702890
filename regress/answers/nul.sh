printf '{}\0x' >"$T/nul.json"; cd "$T" && cf answers check nul.json
