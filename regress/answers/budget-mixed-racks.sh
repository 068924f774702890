cf answers check budget-mixed-racks.json
