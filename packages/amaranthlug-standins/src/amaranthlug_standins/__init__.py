"""Stand-ins of the platform, load tool, experiments and demo."""
