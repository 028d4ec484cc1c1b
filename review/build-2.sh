#!/usr/bin/env bash
# Prepares the stand-ins of the second review (review/6 to review/10). They are Python programs that need no libraries;
# this checks that the interpreter can run them. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or later is needed")'
for file in standins-2/standins.py {6,7,8,9,10}/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
