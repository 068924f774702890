cf answers check remarks.json
