cf answers check missing.json
