cf answers check cut-short.json
