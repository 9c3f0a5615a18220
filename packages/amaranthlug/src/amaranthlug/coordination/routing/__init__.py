"""What nodes share about routed requests through the store."""
