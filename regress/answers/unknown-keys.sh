cf answers check unknown-keys.json
