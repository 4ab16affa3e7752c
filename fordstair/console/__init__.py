"""The terminal console: shows snapshots of a program with their age, and sends operators' overrides to it."""
