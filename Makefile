# make try: a toy world and a server, until Ctrl-C. make test: all tests, in four processes. make check: formatter, linter, type
# checker, words. Each makes the environment that it needs.
VENV := .venv-dev
PYTHON := $(VENV)/bin/python

.PHONY: try check test pages bench-short

try: $(VENV)/made
	@exec $(PYTHON) -m examples.toy --with-pilot

check: $(VENV)/made
	$(PYTHON) -m ruff format --check --no-cache .
	$(PYTHON) -m ruff check --no-cache .
	$(PYTHON) -m mypy --cache-dir=/dev/null
	$(PYTHON) -m tools.check_words

test: $(VENV)/made
	$(PYTHON) -m pytest -q -p no:cacheprovider -n 4

# the catalogues of the operators' pages, made from the code
pages: $(VENV)/made
	$(PYTHON) docs/pages.py

bench-short: $(VENV)/made
	$(PYTHON) -m benchmarks.graphite --short
	$(PYTHON) -m benchmarks.neighbour --short

$(VENV)/made: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip -q install -r requirements-dev.txt
	touch $@
