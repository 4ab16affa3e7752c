"""Records that outlive the process: one file, a checksum on each record, and commits that are shared."""
