for f in vakatawa addis
do
	cf answers check ../../examples/$f.answers.json || exit 1
done
