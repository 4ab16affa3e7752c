"""Readers of the platform's file, the settings document and the operator's file, each into typed settings."""
