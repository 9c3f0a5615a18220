"""Simulates engine selection offline with the product's own modules."""
