"""Small stand-ins for a worker and the platform, and the demo."""
