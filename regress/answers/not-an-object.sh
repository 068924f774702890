cf answers check not-an-object.json
