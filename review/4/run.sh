#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. With TROUBLE=0 the router is not killed.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/4/case.py
