"""Operators command of amaranthlug."""
