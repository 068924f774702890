cf answers check absent.json
