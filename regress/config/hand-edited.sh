cf config generate quay.json | sed 's/"min_up": 2/"min_up": 1/' >"$T/c"
cd "$T" && cf config diff c c
