cf answers check budget-zone.json
