#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python, run by the environment that the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
