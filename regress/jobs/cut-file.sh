echo "{\"schema\": 1, \"jobs\": [" >"$T/cut.json"
cf jobs submit --entry=127.0.0.1:1 "$T/cut.json" 2>&1 | sed "s|$T|T|g"
