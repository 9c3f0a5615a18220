"""What nodes do together, timers and the log follower."""
