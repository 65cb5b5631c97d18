#!/bin/sh
# Checks what the scripts need: their stand-ins are plain modules that Node.js runs as they are, so
# nothing has to be compiled beside the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/almondhoist.mjs ]; then
  echo 'target/almondhoist.mjs is missing: run the build of the deploy file first' >&2
  exit 2
fi
for module in review/lib/*.mjs review/*/case.mjs; do
  node --check "$module" || exit 2
done
