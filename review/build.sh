#!/bin/sh
# Builds the stand-ins that the scripts start. They are in Python and use its standard library only, so this compiles them.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile standins/*.py [1-5]/*.py
