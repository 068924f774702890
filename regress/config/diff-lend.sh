cf config generate quay.json >"$T/old" &&
cf config generate diff-lend.json >"$T/new" &&
cf config diff "$T/old" "$T/new"
