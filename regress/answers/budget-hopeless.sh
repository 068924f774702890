cf answers check budget-hopeless.json
