cf config generate quay.json | head -n 20 >"$T/c"
cd "$T" && cf config diff c c
