#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python without packages.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/second
