cf answers template >"$T/t.json" && cd "$T" && cf answers check t.json
