cf answers check schema-version.json
