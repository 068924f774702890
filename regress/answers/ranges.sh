cf answers check ranges.json
