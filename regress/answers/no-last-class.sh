cf answers check no-last-class.json
