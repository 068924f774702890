cf config diff quay.json
