cf answers check unknown-pool.json
