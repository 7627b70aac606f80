# Everything runs from a private virtual environment that the first target builds.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cat requirements.lock pyproject.toml | cksum | cut -d' ' -f1)
CODE := src standins tests bench

.PHONY: demo test bench matrix soak regress lint format clean

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m standins.demo

test: $(STAMP)
	$(BIN)/python -m tests.run $(ARGS)

bench: $(STAMP)
	$(BIN)/python -m bench $(ARGS)

matrix: $(STAMP)
	$(BIN)/python -m tests.matrix $(ARGS)

soak: $(STAMP)
	$(BIN)/python -m tests.soak $(ARGS)

# ARGS: the users' bench and its folder of sites
regress: $(STAMP)
	$(BIN)/python -m tests.regress $(ARGS)

lint: $(STAMP)
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/black --quiet $(CODE)
	$(BIN)/ruff check --fix --quiet $(CODE)

clean:
	rm -rf $(VENV) build src/*.egg-info
