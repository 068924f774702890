cf answers check bad-match.json
