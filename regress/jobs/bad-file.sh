cf jobs submit --entry=127.0.0.1:1 bad-file.json
