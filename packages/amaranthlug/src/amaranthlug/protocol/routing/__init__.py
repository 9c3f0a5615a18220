"""Routing of a request to a server, from its arrival to the answer."""
