cf config generate ../answers/unknown-pool.json
