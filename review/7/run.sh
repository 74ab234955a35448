#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the
# disruption. KEEP_LOGS=1: the controllers' logs stay in the temporary folder.
cd "$(dirname "$0")/../.." || exit 2
test -x target/rookdyked && test -x target/review-2/case-7 || { echo "build first"; exit 2; }
exec target/review-2/case-7 review/7
