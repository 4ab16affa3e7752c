.PHONY: build lint test run

build:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt

lint:
	.venv/bin/ruff check cairnhoist fordstair tests
	.venv/bin/mypy

test:
	bash tests/run

run:
	.venv/bin/python -m fordstair
