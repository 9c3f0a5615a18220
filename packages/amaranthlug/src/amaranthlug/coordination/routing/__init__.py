"""Routing state that nodes share through the store."""
