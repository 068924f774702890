cf config generate quay.json >"$T/old" &&
cf config generate diff-zone.json >"$T/new" &&
cf config diff "$T/old" "$T/new"
