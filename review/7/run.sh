#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run.  TROUBLE=0 leaves the disruption out.  What was sent, answered and
# run goes to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marjoramquay ] && [ -x review/bin/case7 ] || exit 2
exec review/bin/case7 review/7/record.txt
