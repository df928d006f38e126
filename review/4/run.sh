#!/bin/sh
# Plays case 4. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 review/build/case-4 review/4/record.txt
