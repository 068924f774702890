cf answers check bad-names.json
