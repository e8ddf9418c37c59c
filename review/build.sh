#!/usr/bin/env bash
# Builds what the scripts start: the stand-ins need no more than python3.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py ./*/case.py
