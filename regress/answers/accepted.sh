cf answers check quay.json
