"""The users' platform: its store, callers, targets, operators and settings.

This folder translates and decides nothing. Names of the platform stand nowhere else.
"""
