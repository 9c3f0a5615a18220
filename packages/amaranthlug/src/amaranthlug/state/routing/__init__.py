"""Data of routed requests: configuration, servers, nodes, roll-outs."""
