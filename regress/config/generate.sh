cf config generate quay.json
