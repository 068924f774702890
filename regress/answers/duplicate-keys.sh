cf answers check duplicate-keys.json
