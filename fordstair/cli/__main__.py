"""Runs the command line as ``python -m fordstair.cli``, like the ``fordstair`` command."""

from fordstair.cli.app import main

main()
