cf answers check duplicate-names.json
