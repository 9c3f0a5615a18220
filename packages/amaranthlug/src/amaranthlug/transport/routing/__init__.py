"""Sockets of routed requests."""
