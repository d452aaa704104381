"""Stand-ins for a worker and the platform, and a demo that uses them."""
