"""Data types of routing: configuration, servers, nodes and roll-outs."""
