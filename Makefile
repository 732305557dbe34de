VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH = $(CURDIR)/src

.PHONY: demo test lint bench golden clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check src tests scripts specs
	$(VENV)/bin/ruff check src tests scripts specs

test: lint
	$(PYTHON) scripts/verdict.py tests

demo: $(VENV)/.installed
	PYTHON=$(PYTHON) sh scripts/demo.sh

bench: $(VENV)/.installed
	$(PYTHON) scripts/bench.py

golden: $(VENV)/.installed
	CARDAMOM_RENEW_GOLDEN=1 $(PYTHON) -m behave tests --tags=golden --no-capture

clean:
	rm -rf $(VENV) out .hypothesis .ruff_cache
