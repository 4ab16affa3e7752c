"""The log of an appliance: structlog rendering, suppression of repeated lines, and a non-blocking sink."""
