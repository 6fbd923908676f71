"""Adapters to the users' platform: store, callers, targets, operators and settings.

This package only translates between the platform's formats and the types of the core;
it takes no decisions. The platform's headers, paths and field names occur in no other
package.
"""
