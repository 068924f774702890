cf answers check wrong-types.json
