#!/bin/sh
# Compiles the stand-ins and checks that they load; the build of the deploy file has to come first.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
.venv/bin/python -c "import review.platform, review.sites"
