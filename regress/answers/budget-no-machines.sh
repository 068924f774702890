cf answers check budget-no-machines.json
