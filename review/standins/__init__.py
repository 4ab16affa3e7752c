"""Stand-ins of the review: engines, clients and the platform, all on loopback addresses."""
