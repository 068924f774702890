cf answers check budget-drain.json
