cf config diff quay.json quay.json
