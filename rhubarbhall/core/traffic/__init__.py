"""Requests on their way from a caller to a target and back."""
