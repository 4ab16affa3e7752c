"""The command line: ``fordstair COMMAND``."""
