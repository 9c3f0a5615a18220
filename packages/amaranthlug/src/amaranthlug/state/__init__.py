"""Data classes and state computed from the log, free of input and output."""
