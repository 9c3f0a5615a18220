"""Command line of amaranthlug for operators."""
