cf answers check enum.json
