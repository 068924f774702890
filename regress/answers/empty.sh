cf answers check empty.json
