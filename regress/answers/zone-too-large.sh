cf answers check zone-too-large.json
