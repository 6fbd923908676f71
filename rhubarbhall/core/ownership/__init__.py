"""Ownership of key ranges: which target may hold which keys, and until when."""
