cf answers check
