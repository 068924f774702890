# Every member that the questionnaire asks for is in the manual page, with
# the same range.
cf answers template |
sed -n 's/^ *"\([a-z][a-z_]*\)": "\(.* .*\)",\{0,1\}$/\1 \2/p' |
sed 's/\\"/"/g' >"$T/asked"
sed '/^\.Sh RULES/q' ../../man/cactusfield-answers.5 | tr '\n' ' ' |
sed 's/\.It Ic /\n/g; s/\.El [^\n]*//g' | sed 's/ *$//' | tail -n +2 >"$T/told"
sort -u "$T/asked" | sed 's/  */ /g' >"$T/a"
sort -u "$T/told" | sed 's/  */ /g' >"$T/b"
diff "$T/a" "$T/b"
