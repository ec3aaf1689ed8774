"""Execution of requests; the objects here live as long as one request."""
