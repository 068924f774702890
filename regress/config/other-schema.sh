cf config generate quay.json | sed 's/"schema": 1/"schema": 3/' >"$T/c"
cd "$T" && cf config diff c c
