cf answers check no-zones.json
