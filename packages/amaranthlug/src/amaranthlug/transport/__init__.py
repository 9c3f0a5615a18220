"""Sockets, HTTP servers and clients, and adapters of the platform."""
