#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/4 on. They need the standard library
# alone, and only the byte code is made.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins_2 [4-8]
