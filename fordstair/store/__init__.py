"""Durable storage of records in one SQLite file, with a checksum per record and group commit."""
