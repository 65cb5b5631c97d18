#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" && exec node run.mjs
