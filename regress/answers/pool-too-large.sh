cf answers check pool-too-large.json
