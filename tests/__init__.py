"""The tests of fordstair."""
