cf answers check no-list.json
