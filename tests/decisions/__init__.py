"""The tests of the decision module, and recordings of its decisions."""
