"""The life of a routed request."""
