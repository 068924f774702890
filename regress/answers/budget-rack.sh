cf answers check budget-rack.json
