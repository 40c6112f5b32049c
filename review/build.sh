#!/bin/sh
# Builds the stand-ins of the cases. They are Python and need nothing but the environment that the deploy file's build
# makes; so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
