{ printf %020000d | tr 0 "["; } >"$T/deep.json"; cd "$T" && cf answers check deep.json
