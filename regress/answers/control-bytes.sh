cf answers check control-bytes.json
