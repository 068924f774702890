cf answers check number-too-big.json
