"""Which target holds which keys, and when a daemon may say so."""
