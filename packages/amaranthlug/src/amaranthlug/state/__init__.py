"""Data classes and pure folds without input or output."""
