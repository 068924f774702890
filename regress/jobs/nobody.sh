cf jobs submit --entry=127.0.0.1:1 good-file.json 2>&1 | sed "s/error .*/error/"
