cf answers check not-utf8.json
