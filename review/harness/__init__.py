"""Small stand-ins and a deployment of real routers for the cases of the review."""
