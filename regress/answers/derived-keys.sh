cf answers check derived-keys.json
