"""Clients that are not controlled, against routers as processes."""
