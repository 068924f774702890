cf answers check pools-too-large.json
