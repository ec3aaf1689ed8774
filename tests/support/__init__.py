"""Helpers of the tests: deployments as separate processes and in one process."""
