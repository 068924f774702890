cf answers check two-spares.json
