"""What operators override while the program runs: decided and remembered without I/O."""
