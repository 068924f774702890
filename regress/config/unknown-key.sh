cf config generate quay.json | sed 's/"site"/"sight": 1, "site"/' >"$T/c"
cd "$T" && cf config diff c c
