"""Routing of callers' requests: choice of a target, admission, retries, outcomes."""
