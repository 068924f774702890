cf config generate quay.json >"$T/1" && cf config generate quay.json >"$T/2" && cmp "$T/1" "$T/2"
