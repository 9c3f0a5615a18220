"""Model-aware router for versions and cascades."""
