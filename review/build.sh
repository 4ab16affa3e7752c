#!/usr/bin/env bash
# Builds the stand-ins of the cases; the deploy file's own build has to have run before.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review fordstair/lab
