"""Durable records: one SQLite file, a checksum on each record, and group commit."""
