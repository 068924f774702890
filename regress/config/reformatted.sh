cf config generate quay.json >"$T/c"
tr -d "\n" <"$T/c" >"$T/d"
cf config diff "$T/c" "$T/d"
