cf answers check bad-json.json
